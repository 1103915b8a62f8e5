//! Record framing: magic number, payload length, checksum and payload.
//!
//! The checksum also covers the offset of the record in the file, so that a copy of a record inside
//! the payload of a torn record is not recognized as a record.

use std::{
    io::{
        self,
        Read, //
    },
    ops::Range,
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
    while let Some(payload) = parse(content, end, 0) {
        end = payload.end;
        payloads.push(payload);
    }
    Scan { payloads, end }
}

/// Reads records one after the other, so that only one of them is in memory at a time.
pub(crate) struct RecordReader<Input> {
    input: Input,
    /// Offset of the end of the last valid record.
    end: u64,
    /// What was read after the last valid record: the begin of an invalid one.
    rest: Vec<u8>,
}

impl<Input> RecordReader<Input>
where
    Input: Read,
{
    /// Reads records from `input`, which begins at `offset` of the file.
    pub(crate) fn new(input: Input, offset: u64) -> RecordReader<Input> {
        RecordReader {
            input,
            end: offset,
            rest: Vec::new(),
        }
    }

    /// Offset of the end of the last valid record.
    pub(crate) fn end(&self) -> u64 {
        self.end
    }

    /// Returns the payload of the next record, or `None` at the first invalid one and at the end of
    /// the file.
    pub(crate) fn next(&mut self) -> io::Result<Option<Vec<u8>>> {
        if !self.rest.is_empty() {
            return Ok(None);
        }
        let mut record = Vec::new();
        let header_len = HEADER_LEN as u64;
        self.input
            .by_ref()
            .take(header_len)
            .read_to_end(&mut record)?;
        if let Some(length) = payload_length(&record) {
            self.input.by_ref().take(length).read_to_end(&mut record)?;
        }
        match parse(&record, 0, self.end) {
            Some(payload) => {
                self.end += payload.end as u64;
                record.drain(..payload.start);
                Ok(Some(record))
            }
            None => {
                self.rest = record;
                Ok(None)
            }
        }
    }

    /// Reads to the end of the file and tells what follows the last valid record.
    pub(crate) fn tail(mut self) -> io::Result<Tail> {
        self.input.read_to_end(&mut self.rest)?;
        Ok(match self.rest.is_empty() {
            true => Tail::Empty,
            false if contains_record(&self.rest, self.end) => Tail::ValidRecord,
            false => Tail::Torn,
        })
    }
}

/// What follows the last valid record of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tail {
    /// Nothing.
    Empty,
    /// A record that was not written completely.
    Torn,
    /// An invalid record, and a valid one somewhere after it.
    ValidRecord,
}

/// Returns the payload length that a complete header states.
fn payload_length(header: &[u8]) -> Option<u64> {
    let (_, rest) = header.split_first_chunk::<4>()?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let is_complete = rest.len() == HEADER_LEN - MAGIC.len() - length.len();
    is_complete.then(|| u64::from(u32::from_le_bytes(*length)))
}

/// Whether a valid record begins anywhere in `content`, which begins at `base` of the file.
fn contains_record(content: &[u8], base: u64) -> bool {
    content
        .windows(MAGIC.len())
        .enumerate()
        .any(|(at, window)| window == MAGIC && parse(content, at, base).is_some())
}

/// Returns the payload range of the record at `offset` of `content`, if the record is valid. The
/// content begins at `base` of the file.
fn parse(content: &[u8], offset: usize, base: u64) -> Option<Range<usize>> {
    let header = content.get(offset..offset.checked_add(HEADER_LEN)?)?;
    let (magic, rest) = header.split_first_chunk::<4>()?;
    let (len, found) = rest.split_first_chunk::<4>()?;
    let start = offset + HEADER_LEN;
    let end = start.checked_add(usize::try_from(u32::from_le_bytes(*len)).ok()?)?;
    let payload = content.get(start..end)?;
    let file_offset = base + offset as u64;
    let valid = *magic == MAGIC && checksum(file_offset, *len, payload).to_le_bytes() == found;
    valid.then_some(start..end)
}

fn checksum(offset: u64, len: [u8; 4], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&offset.to_le_bytes());
    hasher.update(&len);
    hasher.update(payload);
    hasher.finalize()
}
