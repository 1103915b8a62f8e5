//! Idempotency records.

use std::collections::BTreeMap;

use camphordale_types::{
    RequestId,
    ServiceName,
    ShardRef,
    Token, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    Outcome,
    RecordKey,
    StoredResponse, //
};

use super::{
    Phase,
    State, //
};

/// An idempotency record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The shard of the request.
    pub shard: ShardRef,
    /// The request that created the record.
    pub request: RequestId,
    /// Log index at which it was created.
    pub created_index: u64,
    /// Whether the request has ended with a response.
    pub finished: bool,
    /// The response, if it was small enough to store.
    pub response: Option<StoredResponse>,
}

/// All records, by key and by age.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Records {
    by_key: BTreeMap<RecordKey, Record>,
    by_age: BTreeMap<ServiceName, BTreeMap<u64, RecordKey>>,
}

impl Records {
    pub(super) fn get(&self, key: &RecordKey) -> Option<&Record> {
        self.by_key.get(key)
    }

    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }

    pub(super) fn created_until(
        &self,
        service: &str,
        index: u64,
        limit: usize,
    ) -> Vec<(RecordKey, RequestId)> {
        self.by_age
            .get(service)
            .into_iter()
            .flat_map(|ages| ages.range(..=index))
            .filter_map(|(_, key)| Some((*key, self.by_key.get(key)?.request)))
            .take(limit)
            .collect()
    }

    fn insert(&mut self, key: RecordKey, record: Record) {
        self.by_age
            .entry(record.shard.service.clone())
            .or_default()
            .insert(record.created_index, key);
        self.by_key.insert(key, record);
    }

    fn remove(&mut self, key: &RecordKey) {
        if let Some(record) = self.by_key.remove(key)
            && let Some(ages) = self.by_age.get_mut(&record.shard.service)
        {
            ages.remove(&record.created_index);
            if ages.is_empty() {
                self.by_age.remove(&record.shard.service);
            }
        }
    }

    fn find(&mut self, key: &RecordKey, request: RequestId) -> Option<&mut Record> {
        self.by_key.get_mut(key).filter(|r| r.request == request)
    }
}

impl State {
    pub(super) fn create_record(
        &mut self,
        shard: &ShardRef,
        token: Token,
        key: RecordKey,
        request: RequestId,
    ) -> Outcome {
        let Some(entry) = self.shard(shard) else {
            return Outcome::Refused("the shard is not homed here".into());
        };
        if !matches!(entry.phase, Phase::Held(_)) {
            return Outcome::Refused("the shard is not held".into());
        }
        if token != entry.token && Some(token) != self.request_token(shard) {
            return Outcome::Refused("the token is not the shard's token".into());
        }
        let records_complete = entry.records_complete;
        match self.records.get(&key) {
            Some(Record {
                response: Some(response),
                ..
            }) => Outcome::Replay(response.clone()),
            Some(_) => Outcome::InProgress,
            None if !records_complete => Outcome::RecordsIncomplete,
            None => {
                let record = Record {
                    shard: shard.clone(),
                    request,
                    created_index: self.index,
                    finished: false,
                    response: None,
                };
                self.records.insert(key, record);
                Outcome::Recorded
            }
        }
    }

    pub(super) fn finish_record(
        &mut self,
        key: RecordKey,
        request: RequestId,
        response: Option<&StoredResponse>,
    ) -> Outcome {
        match self.records.find(&key, request) {
            Some(record) if !record.finished => {
                record.finished = true;
                record.response = response.cloned();
                Outcome::Done
            }
            Some(_) => Outcome::Done,
            None => Outcome::Refused("no record of this request".into()),
        }
    }

    pub(super) fn erase_record(&mut self, key: RecordKey, request: RequestId) -> Outcome {
        match self.records.find(&key, request) {
            Some(record) if record.finished => {
                Outcome::Refused("the recorded request has finished".into())
            }
            Some(_) => {
                self.records.remove(&key);
                Outcome::Done
            }
            None => Outcome::Refused("no record of this request".into()),
        }
    }

    pub(super) fn expire_records(&mut self, keys: &[(RecordKey, RequestId)]) -> Outcome {
        for (key, request) in keys {
            if self.records.find(key, *request).is_some() {
                self.records.remove(key);
            }
        }
        Outcome::Done
    }
}
