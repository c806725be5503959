//! Names and defaults of the settings. Operators' files rely on them, so they must not change when types or fields of the
//! code are renamed. The list was recorded before any such renaming.

use config::Settings;
use std::fmt::Write;
use traffic::RouterSettings;

#[test]
fn settings_keep_their_names_and_defaults() {
    let path = format!("{}/tests/data/settings.txt", env!("CARGO_MANIFEST_DIR"));
    let listed = RouterSettings::help().into_iter().fold(String::new(), |mut text, (name, default, _)| {
        let _ = writeln!(text, "{name} = {default}");
        text
    });
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&path, &listed).unwrap();
    }
    assert_eq!(listed, std::fs::read_to_string(&path).unwrap());
}
