//! Words into values: numbers, durations such as `1500ms` or `4s`, byte sizes such as `256KiB`,
//! lists parted by commas. The file's values and the flags' values go through the same reading.

use crate::SettingError;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

/// A type that a setting may have: read from a word or words, and told as such.
pub trait FromWords: Sized {
    /// Reads a value; the error says what is allowed.
    fn from_words(words: &str) -> Result<Self, String>;
    /// The value as it would be given.
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

/// Settings as given, by name, not yet read.
#[derive(Debug, Default)]
pub struct Source {
    words: BTreeMap<String, String>,
}

impl Source {
    /// Takes a TOML file's text and the flags, which go before it.
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

    /// Adds what is not said already.
    pub fn below(mut self, given: Vec<(String, String)>) -> Source {
        for (name, value) in given {
            self.words.entry(name).or_insert(value);
        }
        self
    }

    /// What a setting was given as.
    pub fn find(&self, name: &str) -> Option<String> {
        self.words.get(name).cloned()
    }

    /// Refuses settings that are not among the known ones.
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
