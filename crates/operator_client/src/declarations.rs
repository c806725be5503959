//! Declarations in files, for example under version control: one file, or a folder with files at any depth up to
//! 8, each a JSON object of resource kinds. Together they are the whole configuration. Two files that declare the
//! same resource, or a file that is no such object, are refused with the names of the files.

use derive_more::{Display, Error};
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Maximum depth of subfolders.
const MAX_DEPTH: usize = 8;
/// Kinds of resources, as written in documents and paths.
const KINDS: [&str; 5] = ["function-bindings", "weight-sheets", "headcount-plans", "functions", "bounds"];

/// Reason why files are not a valid configuration.
#[derive(Debug, Display, Error)]
pub enum DeclarationError {
    /// A file or folder cannot be read.
    #[display("{}: {error}", path.display())]
    Unreadable {
        /// The file or folder.
        path: PathBuf,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// A file is not valid JSON.
    #[display("{}: {error}", path.display())]
    InvalidJson {
        /// The file.
        path: PathBuf,
        /// Position and cause of the failure.
        error: serde_json::Error,
    },
    /// A file is not an object of kinds.
    #[display("{}: {reason}", path.display())]
    InvalidStructure {
        /// The file.
        path: PathBuf,
        /// Expected content.
        reason: String,
    },
    /// Two files declare the same resource.
    #[display("{key} is declared in {} and in {}", first.display(), second.display())]
    Duplicate {
        /// The resource, as kind/tenant/name.
        key: String,
        /// The file that declares it first.
        first: PathBuf,
        /// The file that declares it again.
        second: PathBuf,
    },
    /// The folder has no `.json` file.
    #[display("{}: no .json files", path.display())]
    Empty {
        /// The folder.
        path: PathBuf,
    },
}

/// Declared resources, by kind/tenant/name.
pub type Declarations = BTreeMap<String, Value>;

/// Reads one file, or all `.json` files of a folder at any depth up to 8.
pub fn read_declarations(path: &Path) -> Result<Declarations, DeclarationError> {
    let mut files = Vec::new();
    if path.is_dir() {
        find_files(path, 0, &mut files)?;
        files.sort();
    } else {
        files.push(path.to_owned());
    }
    if files.is_empty() {
        return Err(DeclarationError::Empty { path: path.to_owned() });
    }
    let mut declarations = Declarations::new();
    let mut sources: BTreeMap<String, PathBuf> = BTreeMap::new();
    for file in files {
        for (key, value) in read_file(&file)? {
            if let Some(first) = sources.insert(key.clone(), file.clone()) {
                return Err(DeclarationError::Duplicate { key, first, second: file });
            }
            declarations.insert(key, value);
        }
    }
    Ok(declarations)
}

fn find_files(folder: &Path, depth: usize, files: &mut Vec<PathBuf>) -> Result<(), DeclarationError> {
    let unreadable = |error| DeclarationError::Unreadable { path: folder.to_owned(), error };
    for entry in std::fs::read_dir(folder).map_err(unreadable)? {
        let path = entry.map_err(unreadable)?.path();
        let hidden = path.file_name().is_some_and(|name| name.to_string_lossy().starts_with('.'));
        if path.is_dir() && depth < MAX_DEPTH && !hidden {
            find_files(&path, depth + 1, files)?;
        } else if path.extension().is_some_and(|end| end == "json") && !hidden {
            files.push(path);
        }
    }
    Ok(())
}

fn read_file(path: &Path) -> Result<Declarations, DeclarationError> {
    let raw = std::fs::read(path).map_err(|error| DeclarationError::Unreadable { path: path.to_owned(), error })?;
    let content: Value =
        serde_json::from_slice(&raw).map_err(|error| DeclarationError::InvalidJson { path: path.to_owned(), error })?;
    let invalid_structure = |reason: String| DeclarationError::InvalidStructure { path: path.to_owned(), reason };
    let kinds = content.as_object().ok_or_else(|| invalid_structure("expected an object of kinds".into()))?;
    let mut declarations = Declarations::new();
    for (kind, list) in kinds.iter().filter(|(kind, _)| *kind != "revision") {
        let list = list.as_object().filter(|_| KINDS.contains(&kind.as_str()));
        let list =
            list.ok_or_else(|| invalid_structure(format!("{kind}: kinds are {}, each an object", KINDS.join(", "))))?;
        declarations.extend(list.iter().map(|(name, value)| (format!("{kind}/{name}"), value.clone())));
    }
    Ok(declarations)
}

/// Returns the declarations as the complete document that the API accepts.
pub fn to_document(declarations: &Declarations) -> Value {
    let mut document: Map<String, Value> =
        KINDS.iter().map(|kind| ((*kind).to_owned(), Value::Object(Map::new()))).collect();
    for (key, value) in declarations {
        let Some((kind, name)) = key.split_once('/') else { continue };
        if let Some(Value::Object(list)) = document.get_mut(kind) {
            list.insert(name.to_owned(), value.clone());
        }
    }
    Value::Object(document)
}

/// Returns the resources of such a document.
pub fn from_document(value: &Value) -> Declarations {
    let lists = KINDS.iter().filter_map(|kind| Some((*kind, value.get(*kind)?.as_object()?)));
    lists.flat_map(|(kind, list)| list.iter().map(move |(name, v)| (format!("{kind}/{name}"), v.clone()))).collect()
}

/// Returns one line for each added or removed resource, and for each changed field of a changed one.
pub fn differences(now: &Declarations, wanted: &Declarations) -> Vec<String> {
    let mut lines = Vec::new();
    let keys: std::collections::BTreeSet<&String> = now.keys().chain(wanted.keys()).collect();
    for key in keys {
        match (now.get(key), wanted.get(key)) {
            (None, Some(value)) => lines.push(format!("+ {key} {value}")),
            (Some(_), None) => lines.push(format!("- {key}")),
            (Some(old), Some(new)) if old != new => {
                let empty = Map::new();
                let (a, b) = (old.as_object().unwrap_or(&empty), new.as_object().unwrap_or(&empty));
                let fields: std::collections::BTreeSet<&String> = a.keys().chain(b.keys()).collect();
                for field in fields.into_iter().filter(|field| a.get(*field) != b.get(*field)) {
                    let reason = |value: Option<&Value>| value.map_or("default".to_owned(), Value::to_string);
                    lines.push(format!("~ {key} {field}: {} -> {}", reason(a.get(field)), reason(b.get(field))));
                }
            }
            _ => {}
        }
    }
    lines
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn folder(name: &str, files: &[(&str, &str)]) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("heron-folder-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(folder.join("more")).unwrap();
        files.iter().for_each(|(file, text)| std::fs::write(folder.join(file), text).unwrap());
        folder
    }

    #[test]
    fn files_are_merged_and_invalid_files_are_named() {
        let one = r#"{"headcount-plans": {"t/f": {"min": 1}}}"#;
        let two = r#"{"headcount-plans": {"t/g": {"min": 2}}, "weight-sheets": {"t/f": {}}}"#;
        let good = folder("good", &[("a.json", one), ("more/b.json", two), ("notes.txt", "no JSON")]);
        let declarations = read_declarations(&good).unwrap();
        assert_eq!(declarations.len(), 3);
        assert_eq!(from_document(&to_document(&declarations)), declarations);
        let twice = folder("twice", &[("a.json", one), ("more/b.json", one)]);
        let reason = read_declarations(&twice).unwrap_err().to_string();
        assert!(
            reason.contains("t/f is declared in") && reason.contains("a.json") && reason.contains("b.json"),
            "{reason}"
        );
        let broken = folder("broken", &[("a.json", one), ("more/b.json", "{\"headcount")]);
        assert!(read_declarations(&broken).unwrap_err().to_string().contains("b.json"));
        let unknown_kind = folder("odd", &[("a.json", r#"{"plans": {}}"#)]);
        assert!(read_declarations(&unknown_kind).unwrap_err().to_string().contains("kinds are"));
        assert!(matches!(read_declarations(&folder("none", &[])), Err(DeclarationError::Empty { .. })));
        [good, twice, broken, unknown_kind].iter().for_each(|folder| _ = std::fs::remove_dir_all(folder));
    }

    #[test]
    fn differences_are_listed_by_resource_and_field() {
        let now =
            [("headcount-plans/t/f".to_owned(), json!({"min": 1, "max": 2})), ("weight-sheets/t/f".into(), json!({}))];
        let wanted = [
            ("headcount-plans/t/f".to_owned(), json!({"min": 1, "fixed": 3})),
            ("weight-sheets/t/g".into(), json!({})),
        ];
        let lines = differences(&now.clone().into(), &wanted.into());
        let expected = [
            "~ headcount-plans/t/f fixed: default -> 3",
            "~ headcount-plans/t/f max: 2 -> default",
            "- weight-sheets/t/f",
            "+ weight-sheets/t/g {}",
        ];
        assert_eq!(lines, expected);
        assert!(differences(&now.clone().into(), &now.into()).is_empty());
    }
}
