//! Bounded building blocks of every frame: text, byte strings and lists, each with a counted
//! length that is checked against a limit while it is read.

use bytes::Bytes;
use deku::ctx::Order;
use deku::no_std_io::{Read, Seek, Write};
use deku::prelude::*;
use deku::reader::Reader;
use deku::writer::Writer;
use deku::{DekuReader, DekuWriter};

/// A byte string holds no more than this.
pub const MAX_BLOB_BYTES: u32 = 6 * 1024 * 1024;
const READ_CHUNK_BYTES: usize = 256 * 1024;
const MAX_LIST_ITEMS: u32 = 65_536;

/// Bytes that copies share: what goes to many is held once.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Default, DekuRead, DekuWrite)]
pub struct Blob {
    #[deku(update = "self.data.len()", assert = "*len <= MAX_BLOB_BYTES")]
    len: u32,
    #[deku(reader = "read_bytes(deku::reader, *len)", writer = "write_bytes(deku::writer, &self.data)")]
    data: Bytes,
}

fn read_bytes<R: Read + Seek>(reader: &mut Reader<R>, len: u32) -> Result<Bytes, DekuError> {
    let mut bytes = Vec::new();
    // A length that lies is found out a step at a time, before much is allocated for it.
    while bytes.len() < len as usize {
        let from = bytes.len();
        bytes.resize((len as usize).min(from + READ_CHUNK_BYTES), 0);
        let more = bytes.len() - from;
        reader.read_bytes(more, &mut bytes[from..], Order::Lsb0)?;
    }
    Ok(bytes.into())
}

fn write_bytes<W: Write + Seek>(writer: &mut Writer<W>, bytes: &[u8]) -> Result<(), DekuError> {
    writer.write_bytes(bytes)
}

impl std::fmt::Debug for Blob {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Blob({})", self.data.len())
    }
}

impl Blob {
    /// What it holds.
    pub fn as_slice(&self) -> &[u8] {
        &self.data
    }
    /// What it holds, taken out.
    pub fn into_vec(self) -> Vec<u8> {
        self.data.into()
    }
    /// How many bytes it holds.
    pub fn len(&self) -> usize {
        self.data.len()
    }
    /// A part of it, or as much of that as there is; nothing is copied.
    pub fn slice(&self, from: usize, most: usize) -> Blob {
        let from = from.min(self.data.len());
        let to = from.saturating_add(most).min(self.data.len());
        self.data.slice(from..to).into()
    }
    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.data.is_empty()
    }
}

impl From<Bytes> for Blob {
    fn from(data: Bytes) -> Self {
        Blob { len: data.len() as u32, data }
    }
}

impl From<Vec<u8>> for Blob {
    fn from(data: Vec<u8>) -> Self {
        Bytes::from(data).into()
    }
}

/// UTF-8 text.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Default, DekuRead, DekuWrite)]
pub struct Text {
    #[deku(assert = "std::str::from_utf8(raw.as_slice()).is_ok()")]
    raw: Blob,
}

impl std::fmt::Debug for Text {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}", self.as_str())
    }
}

impl Text {
    /// The text.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(self.raw.as_slice()).unwrap_or_default()
    }
}

impl From<&str> for Text {
    fn from(words: &str) -> Self {
        Text { raw: words.as_bytes().to_vec().into() }
    }
}

impl From<String> for Text {
    fn from(words: String) -> Self {
        Text { raw: words.into_bytes().into() }
    }
}

/// A list of records.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct List<T>
where
    T: DekuWriter + for<'a> DekuReader<'a>,
{
    #[deku(update = "self.items.len()", assert = "*len <= MAX_LIST_ITEMS")]
    len: u32,
    #[deku(count = "len")]
    items: Vec<T>,
}

impl<T: DekuWriter + for<'a> DekuReader<'a>> List<T> {
    /// What it holds.
    pub fn as_slice(&self) -> &[T] {
        &self.items
    }
    /// What it holds, taken out.
    pub fn into_vec(self) -> Vec<T> {
        self.items
    }
    /// What it holds, one by one.
    pub fn iter(&self) -> std::slice::Iter<'_, T> {
        self.items.iter()
    }
}

impl<T: DekuWriter + for<'a> DekuReader<'a>> Default for List<T> {
    fn default() -> Self {
        Vec::new().into()
    }
}

impl<T: DekuWriter + for<'a> DekuReader<'a>> From<Vec<T>> for List<T> {
    fn from(items: Vec<T>) -> Self {
        List { len: items.len() as u32, items }
    }
}

/// A record as it travels and lies on disk.
pub fn to_bytes<T: DekuContainerWrite>(value: &T) -> Vec<u8> {
    value.to_bytes().expect("every heronlink record can be written")
}

/// Reads a record; none if the bytes are not just one.
pub fn from_bytes<T: for<'a> DekuContainerRead<'a>>(bytes: &[u8]) -> Option<T> {
    match T::from_bytes((bytes, 0)) {
        Ok((([], 0), value)) => Some(value),
        _ => None,
    }
}
