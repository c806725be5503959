//! Bounded building blocks of every frame: text, byte strings and lists. Each starts with its length, which is
//! checked against a limit while it is decoded.

use bytes::Bytes;
use deku::ctx::Order;
use deku::no_std_io::{Read, Seek, Write};
use deku::prelude::*;
use deku::reader::Reader;
use deku::writer::Writer;
use deku::{DekuReader, DekuWriter};

/// Maximum number of bytes in a `Blob`.
pub const MAX_BLOB_BYTES: u32 = 6 * 1024 * 1024;
/// Number of bytes allocated at first while a `Blob` is decoded; doubled as far as they arrive.
const READ_CHUNK_BYTES: usize = 256 * 1024;
/// Maximum number of items in a `List`.
const MAX_LIST_ITEMS: u32 = 65_536;

/// Byte string whose clones share one buffer, so that data sent to many receivers is held once.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Default, DekuRead, DekuWrite)]
pub struct Blob {
    #[deku(update = "self.data.len()", assert = "*len <= MAX_BLOB_BYTES")]
    len: u32,
    #[deku(reader = "read_bytes(deku::reader, *len)", writer = "write_bytes(deku::writer, &self.data)")]
    data: Bytes,
}

fn read_bytes<R: Read + Seek>(reader: &mut Reader<R>, len: u32) -> Result<Bytes, DekuError> {
    let mut bytes = Vec::new();
    // Allocates in chunks, so that a false length is detected before much memory is allocated for it.
    while bytes.len() < len as usize {
        let start = bytes.len();
        let end = (len as usize).min(start + READ_CHUNK_BYTES.max(start));
        bytes.reserve_exact(end - start);
        bytes.resize(end, 0);
        let chunk_len = bytes.len() - start;
        reader.read_bytes(chunk_len, &mut bytes[start..], Order::Lsb0)?;
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
    /// Returns the bytes.
    pub fn as_slice(&self) -> &[u8] {
        &self.data
    }
    /// Converts the blob into a vector.
    pub fn into_vec(self) -> Vec<u8> {
        self.data.into()
    }
    /// Converts the blob into bytes that share its buffer.
    pub fn into_bytes(self) -> Bytes {
        self.data
    }
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.data.len()
    }
    /// Returns up to `max_len` bytes from `offset` on, without copying them.
    pub fn slice(&self, offset: usize, max_len: usize) -> Blob {
        let start = offset.min(self.data.len());
        let end = start.saturating_add(max_len).min(self.data.len());
        self.data.slice(start..end).into()
    }
    /// Returns whether there are no bytes.
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

/// String in UTF-8, checked while it is decoded.
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
    /// Returns the text.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(self.raw.as_slice()).unwrap_or_default()
    }
}

impl From<&str> for Text {
    fn from(text: &str) -> Self {
        Text { raw: text.as_bytes().to_vec().into() }
    }
}

impl From<String> for Text {
    fn from(text: String) -> Self {
        Text { raw: text.into_bytes().into() }
    }
}

/// List of records with a bounded length.
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
    /// Returns the items.
    pub fn as_slice(&self) -> &[T] {
        &self.items
    }
    /// Converts the list into a vector.
    pub fn into_vec(self) -> Vec<T> {
        self.items
    }
    /// Iterates over the items.
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

/// Encodes a record as it is sent and stored on disk.
pub fn to_bytes<T: DekuContainerWrite>(value: &T) -> Vec<u8> {
    value.to_bytes().expect("every record can be encoded")
}

/// Decodes a record. Returns `None` if the bytes aren't exactly one record.
pub fn from_bytes<T: for<'a> DekuContainerRead<'a>>(bytes: &[u8]) -> Option<T> {
    match T::from_bytes((bytes, 0)) {
        Ok((([], 0), value)) => Some(value),
        _ => None,
    }
}
