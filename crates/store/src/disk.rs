//! File system abstraction. Tests replace it to inject short writes, full disks and failed syncs.

use std::{
    fmt,
    fs::{
        self,
        File,
        OpenOptions, //
    },
    io::{
        self,
        BufReader,
        Read,
        Write, //
    },
    path::Path,
};

/// Bytes that are read from a file at a time.
const READ_BYTES: usize = 64 << 10;

/// File operations used by the store.
pub trait Disk: fmt::Debug + Send + Sync {
    /// Returns the content of a file, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Any error of the file system other than a missing file.
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>>;

    /// Opens a file for reading from its start. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Any error of the file system other than a missing file.
    fn open(&self, path: &Path) -> io::Result<Option<Box<dyn Read>>>;

    /// Creates an empty file, or truncates an existing one.
    ///
    /// # Errors
    ///
    /// Any error of the file system.
    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>>;

    /// Opens an existing file for appending.
    ///
    /// # Errors
    ///
    /// Any error of the file system.
    fn append(&self, path: &Path) -> io::Result<Box<dyn DiskFile>>;

    /// Renames `from` to `to` and replaces an existing file.
    ///
    /// # Errors
    ///
    /// Any error of the file system.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file if it exists.
    ///
    /// # Errors
    ///
    /// Any error of the file system other than a missing file.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Syncs a directory, which makes creations, renames and removals in it durable.
    ///
    /// # Errors
    ///
    /// Any error of the file system.
    fn sync_dir(&self, path: &Path) -> io::Result<()>;
}

/// A file open for writing.
pub trait DiskFile: Write + fmt::Debug + Send {
    /// Syncs the content, which makes it durable.
    ///
    /// # Errors
    ///
    /// Any error of the file system.
    fn sync(&mut self) -> io::Result<()>;

    /// Truncates the file to `len` bytes.
    ///
    /// # Errors
    ///
    /// Any error of the file system.
    fn set_len(&mut self, len: u64) -> io::Result<()>;
}

/// The file system of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct OsDisk;

impl Disk for OsDisk {
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        match fs::read(path) {
            Ok(content) => Ok(Some(content)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn open(&self, path: &Path) -> io::Result<Option<Box<dyn Read>>> {
        match File::open(path) {
            Ok(file) => Ok(Some(Box::new(BufReader::with_capacity(READ_BYTES, file)))),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>> {
        Ok(Box::new(File::create(path)?))
    }

    fn append(&self, path: &Path) -> io::Result<Box<dyn DiskFile>> {
        Ok(Box::new(OpenOptions::new().append(true).open(path)?))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        match fs::remove_file(path) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    fn sync_dir(&self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }
}

impl DiskFile for File {
    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }

    fn set_len(&mut self, len: u64) -> io::Result<()> {
        File::set_len(self, len)
    }
}
