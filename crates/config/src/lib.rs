//! Settings from a file and from flags. `settings!` declares each setting with its type, default, check and
//! help line. All settings are checked before files or sockets are opened; an invalid one is reported with its
//! name, its value and what is allowed.

#![warn(missing_docs)]

mod command_line;
mod parse;
mod rules;
mod tool;

pub use command_line::{Reread, run_program, run_program_with_defaults};
pub use lexopt;
pub use parse::{SettingValue, Source};
pub use rules::{address, address_or_none, addresses, any_value, identifier, in_range, non_empty, seed_addresses};
pub use tool::{ToolArgument, ToolLine};

use derive_more::{Display, Error};

/// An unknown or invalid setting.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display("setting {name} = {value}: {allowed}")]
pub struct SettingError {
    /// Name of the setting.
    pub name: String,
    /// Value as given, without secrets.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

/// Returns a value as it may be printed, with secrets replaced.
pub fn display_value(name: &str, value: String) -> String {
    if name == "tokens" { "(not shown)".into() } else { value }
}

/// A program's settings, as declared with [`settings!`].
pub trait Settings: Sized {
    /// Reads and checks every setting; returns an error for the first invalid one.
    fn read(source: &Source) -> Result<Self, SettingError>;
    /// Returns the name, default and help line of each setting.
    fn help() -> Vec<(&'static str, String, &'static str)>;
    /// Returns the name and value of each setting, in the form that can be given.
    fn values(&self) -> Vec<(&'static str, String)>;
}

/// Declares a struct of settings: `name: type = default, check, "help line";` for each. The help line is
/// also the field's doc comment.
#[macro_export]
macro_rules! settings {
    ($(#[$meta:meta])* pub struct $name:ident {
        $( $field:ident : $type:ty = $default:expr, $check:expr, $help:literal; )*
    }) => {
        $(#[$meta])*
        #[derive(Clone, Debug)]
        pub struct $name { $( #[doc = $help] pub $field: $type, )* }

        impl $crate::Settings for $name {
            fn read(source: &$crate::Source) -> Result<Self, $crate::SettingError> {
                source.reject_unknown(&[$( stringify!($field), )*])?;
                Ok($name { $( $field: {
                    let value: $type = match source.find(stringify!($field)) {
                        Some(text) => <$type as $crate::SettingValue>::parse_value(&text).map_err(|allowed| {
                            $crate::SettingError { name: stringify!($field).into(), value: text.clone(), allowed }
                        })?,
                        None => $default,
                    };
                    let check = $check;
                    check(&value).map_err(|allowed| $crate::SettingError {
                        name: stringify!($field).into(),
                        value: $crate::display_value(stringify!($field), $crate::SettingValue::format_value(&value)),
                        allowed,
                    })?;
                    value
                }, )* })
            }
            fn help() -> Vec<(&'static str, String, &'static str)> {
                vec![$( (stringify!($field), <$type as $crate::SettingValue>::format_value(&$default), $help), )*]
            }
            fn values(&self) -> Vec<(&'static str, String)> {
                vec![$( (stringify!($field), $crate::SettingValue::format_value(&self.$field)), )*]
            }
        }
    };
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    settings! {
        pub struct Sample {
            zone: String = "a".into(), identifier, "the zone";
            tokens: Vec<String> = Vec::new(), |list: &Vec<String>| list.iter().all(|t| t.len() > 9).then_some(()).ok_or("longer ones".into()), "secrets";
            hold: Duration = Duration::from_millis(1500), in_range(Duration::from_millis(500), Duration::from_secs(10)), "the hold";
        }
    }

    #[test]
    fn flags_override_the_file_and_an_invalid_value_is_reported_with_what_is_allowed() {
        let source = Source::new("zone = \"b\"\nhold = \"2s\"", vec![("zone".into(), "c".into())]).unwrap();
        let sample = Sample::read(&source).unwrap();
        assert_eq!((sample.zone.as_str(), sample.hold), ("c", Duration::from_secs(2)));
        let source = Source::new("hold = \"1ms\"", vec![]).unwrap();
        let error = Sample::read(&source).unwrap_err();
        assert_eq!(error.to_string(), "setting hold = 1ms: allowed is 500ms to 10s");
        let source = Source::new("", vec![("tokens".into(), "sesame".into())]).unwrap();
        let error = Sample::read(&source).unwrap_err();
        assert_eq!(error.to_string(), "setting tokens = (not shown): longer ones");
        let source = Source::new("hodl = \"1s\"", vec![]).unwrap();
        assert!(Sample::read(&source).unwrap_err().to_string().starts_with("setting hodl = 1s: no such setting"));
    }
}
