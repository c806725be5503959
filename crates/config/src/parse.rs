//! Parses setting values from text: numbers, durations such as `1500ms` or `4s`, and comma-separated lists.
//! Values from the file and from flags are parsed in the same way.

use crate::SettingError;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

/// A type of setting that can be parsed from text and formatted as text.
pub trait FromWords: Sized {
    /// Parses a value; the error describes what is allowed.
    fn from_words(words: &str) -> Result<Self, String>;
    /// Formats the value in the form that [`FromWords::from_words`] accepts.
    fn to_words(&self) -> String;
}

macro_rules! whole_numbers {
    ($($type:ty),*) => { $( impl FromWords for $type {
        fn from_words(words: &str) -> Result<Self, String> {
            words.trim().parse().map_err(|_| format!("allowed is a whole number from 0 to {}", <$type>::MAX))
        }
        fn to_words(&self) -> String { self.to_string() }
    } )* };
}
whole_numbers!(u16, u32, u64, usize);

impl FromWords for f64 {
    fn from_words(words: &str) -> Result<Self, String> {
        words.trim().parse().ok().filter(|n: &f64| n.is_finite()).ok_or("allowed is a finite number".into())
    }
    fn to_words(&self) -> String {
        self.to_string()
    }
}

impl FromWords for bool {
    fn from_words(words: &str) -> Result<Self, String> {
        words.trim().parse().map_err(|_| "allowed is true or false".into())
    }
    fn to_words(&self) -> String {
        self.to_string()
    }
}

impl FromWords for String {
    fn from_words(words: &str) -> Result<Self, String> {
        Ok(words.to_owned())
    }
    fn to_words(&self) -> String {
        self.clone()
    }
}

impl FromWords for PathBuf {
    fn from_words(words: &str) -> Result<Self, String> {
        Ok(words.into())
    }
    fn to_words(&self) -> String {
        self.display().to_string()
    }
}

impl FromWords for Duration {
    fn from_words(words: &str) -> Result<Self, String> {
        let allowed = || "allowed is a number with ms, s or m, such as 1500ms".to_owned();
        let trimmed = words.trim();
        let cut = trimmed.find(|c: char| c.is_alphabetic()).ok_or_else(allowed)?;
        let number: u64 = trimmed[..cut].trim().parse().map_err(|_| allowed())?;
        let millis = match &trimmed[cut..] {
            "ms" => Some(number),
            "s" => number.checked_mul(1000),
            "m" => number.checked_mul(60_000),
            _ => None,
        };
        millis.map(Duration::from_millis).ok_or_else(allowed)
    }
    fn to_words(&self) -> String {
        let millis = self.as_millis();
        if millis >= 1000 && millis.is_multiple_of(1000) {
            format!("{}s", millis / 1000)
        } else {
            format!("{millis}ms")
        }
    }
}

impl FromWords for Vec<String> {
    fn from_words(words: &str) -> Result<Self, String> {
        Ok(words.split(',').map(|w| w.trim().to_owned()).filter(|w| !w.is_empty()).collect())
    }
    fn to_words(&self) -> String {
        self.join(",")
    }
}

/// Unparsed setting values by name.
#[derive(Debug, Default)]
pub struct Source {
    words: BTreeMap<String, String>,
}

impl Source {
    /// Merges the text of a TOML file and the flags; flags take precedence.
    pub fn new(file: &str, flags: Vec<(String, String)>) -> Result<Source, SettingError> {
        let table: toml::Table = file.parse().map_err(|error: toml::de::Error| SettingError {
            name: "file".into(),
            value: "the settings file".into(),
            allowed: format!("it cannot be read: {}", error.message()),
        })?;
        let mut words = BTreeMap::new();
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
            words.insert(name, text);
        }
        words.extend(flags);
        Ok(Source { words })
    }

    /// Adds the settings that are not set yet.
    pub fn below(mut self, given: Vec<(String, String)>) -> Source {
        for (name, value) in given {
            self.words.entry(name).or_insert(value);
        }
        self
    }

    /// Returns the unparsed value of a setting.
    pub fn find(&self, name: &str) -> Option<String> {
        self.words.get(name).cloned()
    }

    /// Returns an error if a setting is not among the known ones.
    pub fn only(&self, known: &[&str]) -> Result<(), SettingError> {
        match self.words.iter().find(|(name, _)| !known.contains(&name.as_str())) {
            None => Ok(()),
            Some((name, value)) => Err(SettingError {
                name: name.clone(),
                value: value.clone(),
                allowed: format!("no such setting; there are {}", known.join(", ")),
            }),
        }
    }
}
