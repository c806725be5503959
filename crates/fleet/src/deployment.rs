//! Description of a deployment, stored next to its configuration.

use std::path::{Path, PathBuf};

/// Contents of `deployment.toml`, and the paths of the files next to it.
#[derive(Clone)]
pub struct Deployment {
    pub cluster: String,
    pub routers: usize,
    pub zones: Vec<String>,
    pub workers: i64,
    pub memory_mb: i64,
    pub configuration: PathBuf,
    pub services: PathBuf,
}

impl Deployment {
    /// Reads the description of the deployment in a folder.
    pub fn load(folder: &Path) -> Result<Deployment, String> {
        let file = folder.join("deployment.toml");
        let text = std::fs::read_to_string(&file).map_err(|error| format!("{}: {error}", file.display()))?;
        let table: toml::Table = text.parse().map_err(|error| format!("{}: {error}", file.display()))?;
        let missing = |name: &str| format!("{}: {name} is missing or has the wrong type", file.display());
        let number = |name: &str| table.get(name).and_then(toml::Value::as_integer).ok_or_else(|| missing(name));
        let zones = table.get("zones").and_then(toml::Value::as_array).ok_or_else(|| missing("zones"))?;
        Ok(Deployment {
            cluster: table.get("cluster").and_then(toml::Value::as_str).ok_or_else(|| missing("cluster"))?.to_owned(),
            routers: number("routers")? as usize,
            zones: zones.iter().filter_map(|zone| zone.as_str().map(str::to_owned)).collect(),
            workers: number("workers")?,
            memory_mb: number("memory_mb")?,
            configuration: folder.join("configuration.json"),
            services: folder.join("services.json"),
        })
    }
}
