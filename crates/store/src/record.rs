//! Framing of records: a mark, the length, a checksum and the payload.
//!
//! The checksum covers the offset of the record as well, so that a copy of a record inside the
//! payload of a torn one is not taken for a record.

use std::{
    io,
    ops::Range, //
};

const MARK: [u8; 4] = [0xca, 0x3f, 0x0d, 0xa1];
const HEADER: usize = 12;

/// Result of reading all records of a file.
#[derive(Debug)]
pub(crate) struct Scan {
    /// Payloads of the valid records from the start on.
    pub(crate) records: Vec<Range<usize>>,
    /// End of the last of them.
    pub(crate) end: usize,
    /// Whether a valid record follows the first bad one.
    pub(crate) more: bool,
}

/// Frames `payload` as the record at `offset`.
pub(crate) fn frame(offset: u64, payload: &[u8]) -> io::Result<Vec<u8>> {
    let len = u32::try_from(payload.len())
        .map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, "record exceeds 4 GiB"))?
        .to_le_bytes();
    let mut record = Vec::with_capacity(HEADER + payload.len());
    record.extend_from_slice(&MARK);
    record.extend_from_slice(&len);
    record.extend_from_slice(&checksum(offset, len, payload).to_le_bytes());
    record.extend_from_slice(payload);
    Ok(record)
}

/// Reads the records of `content` from `start` on, up to the first bad one.
pub(crate) fn scan(content: &[u8], start: usize) -> Scan {
    let mut records = Vec::new();
    let mut end = start;
    while let Some(payload) = parse(content, end) {
        end = payload.end;
        records.push(payload);
    }
    let rest = content.get(end..).unwrap_or_default();
    let more = rest
        .windows(MARK.len())
        .enumerate()
        .any(|(at, window)| window == MARK && parse(content, end + at).is_some());
    Scan { records, end, more }
}

/// Returns the payload of the record at `offset` if it is valid.
fn parse(content: &[u8], offset: usize) -> Option<Range<usize>> {
    let header = content.get(offset..offset.checked_add(HEADER)?)?;
    let (mark, rest) = header.split_first_chunk::<4>()?;
    let (len, sum) = rest.split_first_chunk::<4>()?;
    let start = offset + HEADER;
    let end = start.checked_add(usize::try_from(u32::from_le_bytes(*len)).ok()?)?;
    let payload = content.get(start..end)?;
    let valid = *mark == MARK && checksum(offset as u64, *len, payload).to_le_bytes() == sum;
    valid.then_some(start..end)
}

fn checksum(offset: u64, len: [u8; 4], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&offset.to_le_bytes());
    hasher.update(&len);
    hasher.update(payload);
    hasher.finalize()
}
