//! Parses setting values from text: numbers, durations such as `1500ms` or `4s`, and comma-separated lists.
//! Values from the file and from flags are parsed in the same way.

use crate::SettingError;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

/// A type of setting that can be parsed from text and formatted as text.
pub trait SettingValue: Sized {
    /// Parses a value; the error describes what is allowed.
    fn parse_value(text: &str) -> Result<Self, String>;
    /// Formats the value in the form that [`SettingValue::parse_value`] accepts.
    fn format_value(&self) -> String;
}

macro_rules! whole_numbers {
    ($($type:ty),*) => { $( impl SettingValue for $type {
        fn parse_value(text: &str) -> Result<Self, String> {
            text.trim().parse().map_err(|_| format!("allowed is a whole number from 0 to {}", <$type>::MAX))
        }
        fn format_value(&self) -> String { self.to_string() }
    } )* };
}
whole_numbers!(u16, u32, u64, usize);

impl SettingValue for f64 {
    fn parse_value(text: &str) -> Result<Self, String> {
        text.trim().parse().ok().filter(|n: &f64| n.is_finite()).ok_or("allowed is a finite number".into())
    }
    fn format_value(&self) -> String {
        self.to_string()
    }
}

impl SettingValue for bool {
    fn parse_value(text: &str) -> Result<Self, String> {
        text.trim().parse().map_err(|_| "allowed is true or false".into())
    }
    fn format_value(&self) -> String {
        self.to_string()
    }
}

impl SettingValue for String {
    fn parse_value(text: &str) -> Result<Self, String> {
        Ok(text.to_owned())
    }
    fn format_value(&self) -> String {
        self.clone()
    }
}

impl SettingValue for PathBuf {
    fn parse_value(text: &str) -> Result<Self, String> {
        Ok(text.into())
    }
    fn format_value(&self) -> String {
        self.display().to_string()
    }
}

impl SettingValue for Duration {
    fn parse_value(text: &str) -> Result<Self, String> {
        let allowed = || "allowed is a number with ms, s or m, such as 1500ms".to_owned();
        let trimmed = text.trim();
        let unit_start = trimmed.find(|c: char| c.is_alphabetic()).ok_or_else(allowed)?;
        let number: u64 = trimmed[..unit_start].trim().parse().map_err(|_| allowed())?;
        let millis = match &trimmed[unit_start..] {
            "ms" => Some(number),
            "s" => number.checked_mul(1000),
            "m" => number.checked_mul(60_000),
            _ => None,
        };
        millis.map(Duration::from_millis).ok_or_else(allowed)
    }
    fn format_value(&self) -> String {
        let millis = self.as_millis();
        if millis >= 1000 && millis.is_multiple_of(1000) {
            format!("{}s", millis / 1000)
        } else {
            format!("{millis}ms")
        }
    }
}

impl SettingValue for Vec<String> {
    fn parse_value(text: &str) -> Result<Self, String> {
        Ok(text.split(',').map(|w| w.trim().to_owned()).filter(|w| !w.is_empty()).collect())
    }
    fn format_value(&self) -> String {
        self.join(",")
    }
}

/// Unparsed setting values by name.
#[derive(Debug, Default)]
pub struct Source {
    values: BTreeMap<String, String>,
}

impl Source {
    /// Merges the text of a TOML file and the flags; flags take precedence.
    pub fn new(file: &str, flags: Vec<(String, String)>) -> Result<Source, SettingError> {
        let table: toml::Table = file.parse().map_err(|error: toml::de::Error| SettingError {
            name: "file".into(),
            value: "the settings file".into(),
            allowed: format!("it cannot be read: {}", error.message()),
        })?;
        let mut values = BTreeMap::new();
        for (name, value) in table {
            let text = match value {
                toml::Value::String(text) => text,
                toml::Value::Array(list) => {
                    let parts: Vec<String> =
                        list.iter().map(|v| v.as_str().map_or(v.to_string(), str::to_owned)).collect();
                    parts.join(",")
                }
                other => other.to_string(),
            };
            values.insert(name, text);
        }
        values.extend(flags);
        Ok(Source { values })
    }

    /// Adds the settings that are not set yet.
    pub fn with_defaults(mut self, defaults: Vec<(String, String)>) -> Source {
        for (name, value) in defaults {
            self.values.entry(name).or_insert(value);
        }
        self
    }

    /// Returns the unparsed value of a setting.
    pub fn find(&self, name: &str) -> Option<String> {
        self.values.get(name).cloned()
    }

    /// Returns an error if a setting is not among the known ones.
    pub fn reject_unknown(&self, known: &[&str]) -> Result<(), SettingError> {
        match self.values.iter().find(|(name, _)| !known.contains(&name.as_str())) {
            None => Ok(()),
            Some((name, value)) => Err(SettingError {
                name: name.clone(),
                value: value.clone(),
                allowed: format!("no such setting; there are {}", known.join(", ")),
            }),
        }
    }
}
