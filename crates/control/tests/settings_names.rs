//! Names and defaults of the settings, which operators' files rely on. The expected list was written before any type
//! or field of the code was renamed.

use config::Settings;
use control::RegistrySettings;
use std::fmt::Write;

#[test]
fn settings_keep_their_names_and_defaults() {
    let path = format!("{}/tests/data/settings.txt", env!("CARGO_MANIFEST_DIR"));
    let listed = RegistrySettings::help().into_iter().fold(String::new(), |mut text, (name, default, _)| {
        let _ = writeln!(text, "{name} = {default}");
        text
    });
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&path, &listed).unwrap();
    }
    assert_eq!(listed, std::fs::read_to_string(&path).unwrap());
}
