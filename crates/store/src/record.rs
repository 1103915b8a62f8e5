//! Record framing: magic number, payload length, checksum and payload.
//!
//! The checksum also covers the offset of the record in the file, so that a copy of a record inside
//! the payload of a torn record is not recognized as a record.

use std::{
    io,
    ops::Range, //
};

const MAGIC: [u8; 4] = [0xca, 0x3f, 0x0d, 0xa1];
/// Length of magic number, payload length and checksum in bytes.
const HEADER_LEN: usize = 12;

/// Result of scanning a file for records.
#[derive(Debug)]
pub(crate) struct Scan {
    /// Ranges of the payloads of the valid records, up to the first invalid record.
    pub(crate) payloads: Vec<Range<usize>>,
    /// Offset of the end of the last valid record.
    pub(crate) end: usize,
    /// Whether a valid record follows the first invalid one.
    pub(crate) valid_after: bool,
}

/// Encodes `payload` as the record at `offset`.
pub(crate) fn frame(offset: u64, payload: &[u8]) -> io::Result<Vec<u8>> {
    let len = u32::try_from(payload.len())
        .map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, "record payload exceeds 4 GiB"))?
        .to_le_bytes();
    let mut record = Vec::with_capacity(HEADER_LEN + payload.len());
    record.extend_from_slice(&MAGIC);
    record.extend_from_slice(&len);
    record.extend_from_slice(&checksum(offset, len, payload).to_le_bytes());
    record.extend_from_slice(payload);
    Ok(record)
}

/// Scans `content` for records from `start` on, up to the first invalid one.
pub(crate) fn scan(content: &[u8], start: usize) -> Scan {
    let mut payloads = Vec::new();
    let mut end = start;
    while let Some(payload) = parse(content, end) {
        end = payload.end;
        payloads.push(payload);
    }
    let rest = content.get(end..).unwrap_or_default();
    let valid_after = rest
        .windows(MAGIC.len())
        .enumerate()
        .any(|(at, window)| window == MAGIC && parse(content, end + at).is_some());
    Scan {
        payloads,
        end,
        valid_after,
    }
}

/// Returns the payload range of the record at `offset`, if the record is valid.
fn parse(content: &[u8], offset: usize) -> Option<Range<usize>> {
    let header = content.get(offset..offset.checked_add(HEADER_LEN)?)?;
    let (magic, rest) = header.split_first_chunk::<4>()?;
    let (len, found) = rest.split_first_chunk::<4>()?;
    let start = offset + HEADER_LEN;
    let end = start.checked_add(usize::try_from(u32::from_le_bytes(*len)).ok()?)?;
    let payload = content.get(start..end)?;
    let valid = *magic == MAGIC && checksum(offset as u64, *len, payload).to_le_bytes() == found;
    valid.then_some(start..end)
}

fn checksum(offset: u64, len: [u8; 4], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&offset.to_le_bytes());
    hasher.update(&len);
    hasher.update(payload);
    hasher.finalize()
}
