//! Contents: bulk data for entry VMs, which they ask for part by part.
//!
//! A content is encoded without the documents of operators, compressed, and identified by a digest of
//! its bytes. Control VMs derive the same bytes from the same change, so a transfer that was broken
//! off goes on with another leader.

use std::{
    collections::VecDeque,
    sync::Arc, //
};

use miniz_oxide::{
    deflate::compress_to_vec,
    inflate::decompress_to_vec_with_limit, //
};
use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};

use crate::{
    evacuation,
    routing::{
        Change,
        ConfigResource,
        Routing,
        Version, //
    },
    state::View,
};

/// Digest of the bytes of a content.
pub type ContentId = [u8; 16];

/// Maximum length of a content before it is compressed. It bounds what a VM decodes.
const MAX_CONTENT_BYTES: usize = 32 << 20;
/// Compression level, of 10: higher ones take several times as long for a few percent.
const COMPRESSION_LEVEL: u8 = 6;
/// Bytes of changes that are kept for VMs that lag behind, unless the last change alone is longer.
const MAX_KEPT_BYTES: usize = 256 << 10;
/// Changes that are kept for VMs that lag behind.
const MAX_KEPT_CHANGES: usize = 1024;

/// What a content holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ContentKind {
    /// The change from one version of the routing to the next.
    Change {
        /// The version before it.
        base: Version,
        /// The version after it.
        version: Version,
    },
    /// The whole view.
    View {
        /// Its index.
        index: u64,
    },
}

/// Identifies a content, and says how long it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentRef {
    /// What it holds.
    pub kind: ContentKind,
    /// Digest of its bytes.
    pub id: ContentId,
    /// Its length in bytes.
    pub length: u32,
}

/// Consecutive bytes of a content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The content.
    pub content: ContentRef,
    /// Position of the first byte.
    pub offset: u32,
    /// The bytes.
    pub bytes: Box<[u8]>,
}

/// A content that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ContentError {
    /// The bytes have another digest.
    #[error("the bytes are not those of the content")]
    Digest,
    /// The bytes cannot be decompressed, or there are too many.
    #[error("the content cannot be decompressed")]
    Compression,
    /// The value cannot be decoded.
    #[error("the content cannot be decoded: {0}")]
    Value(#[from] postcard::Error),
}

/// A complete content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Content {
    about: ContentRef,
    bytes: Arc<[u8]>,
}

/// The view as it is encoded in a content.
#[derive(Serialize, Deserialize)]
struct SentView(#[serde(with = "evacuation::sent_view")] Box<View>);

fn digest(bytes: &[u8]) -> ContentId {
    let mut id = ContentId::default();
    blake3::Hasher::new()
        .update(bytes)
        .finalize_xof()
        .fill(&mut id);
    id
}

fn without_document<Spec>(item: &ConfigResource<Spec>) -> ConfigResource<Spec>
where
    Spec: Clone,
{
    ConfigResource {
        spec: item.spec.clone(),
        document: "".into(),
    }
}

fn without_documents<Name, Spec>(
    items: &[(Name, ConfigResource<Spec>)],
) -> Vec<(Name, ConfigResource<Spec>)>
where
    Name: Clone,
    Spec: Clone,
{
    let items = items.iter();
    items
        .map(|(name, item)| (name.clone(), without_document(item)))
        .collect()
}

impl Content {
    fn new<Value>(kind: ContentKind, value: &Value) -> Result<Content, postcard::Error>
    where
        Value: Serialize,
    {
        let bytes = compress_to_vec(&postcard::to_stdvec(value)?, COMPRESSION_LEVEL);
        let about = ContentRef {
            kind,
            id: digest(&bytes),
            length: u32::try_from(bytes.len()).map_err(|_| postcard::Error::SerializeBufferFull)?,
        };
        Ok(Content {
            about,
            bytes: bytes.into(),
        })
    }

    /// The content of an accepted change.
    ///
    /// # Errors
    ///
    /// Returns the error of `postcard` if the change cannot be encoded, or is longer than 4 GiB.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_fleet::{Change, Content};
    ///
    /// let change = Change {
    ///     base_version: 3,
    ///     version: 4,
    ///     replace_all: false,
    ///     routes: Vec::new(),
    ///     services: Vec::new(),
    ///     limits: None,
    ///     removed_routes: vec!["old".into()],
    ///     removed_services: Vec::new(),
    ///     digest: [0; 16],
    ///     received_ms: 0,
    /// };
    /// let content = Content::of_change(&change)?;
    /// let part = content.part(0, usize::MAX);
    /// assert_eq!(Content::decode_change(&part.content, &part.bytes), Ok(change));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn of_change(change: &Change) -> Result<Content, postcard::Error> {
        let kind = ContentKind::Change {
            base: change.base_version,
            version: change.version,
        };
        let sent = Change {
            routes: without_documents(&change.routes),
            services: without_documents(&change.services),
            limits: change.limits.as_ref().map(without_document),
            removed_routes: change.removed_routes.clone(),
            removed_services: change.removed_services.clone(),
            ..*change
        };
        Content::new(kind, &sent)
    }

    /// The content of the whole view.
    ///
    /// # Errors
    ///
    /// Returns the error of `postcard` if the view cannot be encoded, or is longer than 4 GiB.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_fleet::{Content, View};
    ///
    /// let content = Content::of_view(&View { index: 7, ..View::default() })?;
    /// let part = content.part(0, usize::MAX);
    /// assert_eq!(Content::decode_view(&part.content, &part.bytes)?.index, 7);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn of_view(view: &View) -> Result<Content, postcard::Error> {
        let kind = ContentKind::View { index: view.index };
        let mut sent = view.clone();
        sent.routing = view.routing.as_ref().map(|routing| {
            let routes = routing.routes.iter();
            let services = routing.services.iter();
            Arc::new(Routing {
                version: routing.version,
                routes: routes
                    .map(|(name, item)| (name.clone(), without_document(item)))
                    .collect(),
                services: services
                    .map(|(name, item)| (name.clone(), without_document(item)))
                    .collect(),
                limits: routing.limits.as_ref().map(without_document),
            })
        });
        Content::new(kind, &SentView(Box::new(sent)))
    }

    /// Identifies the content.
    pub fn about(&self) -> ContentRef {
        self.about
    }

    /// At most `length` bytes from `offset` on; none if that is behind the end.
    pub fn part(&self, offset: u32, length: usize) -> Part {
        let start = (offset as usize).min(self.bytes.len());
        let end = start.saturating_add(length).min(self.bytes.len());
        Part {
            content: self.about,
            offset,
            bytes: self.bytes[start..end].into(),
        }
    }

    /// Decodes a change from all bytes of its content.
    ///
    /// # Errors
    ///
    /// [`ContentError`] if they are not those of the content, or cannot be decoded.
    pub fn decode_change(about: &ContentRef, bytes: &[u8]) -> Result<Change, ContentError> {
        decode(about, bytes)
    }

    /// Decodes a view from all bytes of its content.
    ///
    /// # Errors
    ///
    /// [`ContentError`] if they are not those of the content, or cannot be decoded.
    pub fn decode_view(about: &ContentRef, bytes: &[u8]) -> Result<Box<View>, ContentError> {
        decode::<SentView>(about, bytes).map(|sent| sent.0)
    }
}

fn decode<Value>(about: &ContentRef, bytes: &[u8]) -> Result<Value, ContentError>
where
    Value: DeserializeOwned,
{
    if digest(bytes) != about.id {
        return Err(ContentError::Digest);
    }
    let bytes = decompress_to_vec_with_limit(bytes, MAX_CONTENT_BYTES)
        .map_err(|_| ContentError::Compression)?;
    Ok(postcard::from_bytes(&bytes)?)
}

/// A change of the routing with its content.
#[derive(Clone, Debug)]
pub(crate) struct KeptChange {
    /// Index of its command.
    pub(crate) index: u64,
    /// The version before it.
    pub(crate) base: Version,
    /// The version after it.
    pub(crate) version: Version,
    pub(crate) content: Content,
}

/// The contents of the last changes of the routing. Each begins at the version at which the one
/// before it ends.
#[derive(Debug, Default)]
pub(crate) struct KeptChanges {
    changes: VecDeque<KeptChange>,
    bytes: usize,
}

impl KeptChanges {
    /// Adds a change, and drops the oldest ones if there are too many.
    pub(crate) fn push(&mut self, change: KeptChange) {
        if self
            .changes
            .back()
            .is_some_and(|last| last.version != change.base)
        {
            self.clear();
        }
        self.bytes += change.content.bytes.len();
        self.changes.push_back(change);
        while self.changes.len() > 1
            && (self.bytes > MAX_KEPT_BYTES || self.changes.len() > MAX_KEPT_CHANGES)
            && let Some(dropped) = self.changes.pop_front()
        {
            self.bytes -= dropped.content.bytes.len();
        }
    }

    /// Drops all changes.
    pub(crate) fn clear(&mut self) {
        self.changes.clear();
        self.bytes = 0;
    }

    /// Bytes of the contents.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// The change on `base`.
    pub(crate) fn after(&self, base: Version) -> Option<&KeptChange> {
        self.since(base, Version::MAX)?.next()
    }

    /// The changes from `base` to `current`, or `None` if they are not all kept.
    pub(crate) fn since(
        &self,
        base: Version,
        current: Version,
    ) -> Option<impl Iterator<Item = &KeptChange>> {
        let first = self.changes.partition_point(|change| change.base < base);
        let is_kept = self
            .changes
            .get(first)
            .is_some_and(|change| change.base == base);
        (is_kept || base == current).then(|| self.changes.range(first..))
    }
}
