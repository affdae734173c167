//! The set of collector tasks, one per member.

use super::collector::{CollectedBatch, CollectionTimes, Collector};
use super::lock::lock;
use crate::settings::Member;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// A member whose log is collected, with its collector task.
struct FollowedMember {
    address: SocketAddr,
    task: AbortHandle,
}

/// The collector tasks of all members.
pub(super) struct Collectors {
    store_path: PathBuf,
    times: Arc<Mutex<CollectionTimes>>,
    batches: mpsc::Sender<CollectedBatch>,
    followed_members: BTreeMap<String, FollowedMember>,
}

impl Collectors {
    pub(super) fn new(
        store_path: PathBuf,
        times: CollectionTimes,
        batches: mpsc::Sender<CollectedBatch>,
    ) -> Collectors {
        Collectors {
            store_path,
            times: Arc::new(Mutex::new(times)),
            batches,
            followed_members: BTreeMap::new(),
        }
    }

    pub(super) fn reload(&self, times: CollectionTimes) {
        *lock(&self.times) = times;
    }

    /// Starts and aborts tasks, so that exactly the logs of `members` are collected.
    pub(super) fn follow(&mut self, members: &BTreeMap<String, Member>) {
        self.followed_members.retain(|name, followed| {
            let member = members.get(name);
            let is_unchanged = member.is_some_and(|member| member.address == followed.address);
            if !is_unchanged {
                followed.task.abort();
            }
            is_unchanged
        });
        for (name, member) in members {
            if self.followed_members.contains_key(name) {
                continue;
            }
            let collector = Collector {
                member: name.clone(),
                address: member.address,
                store_path: self.store_path.clone(),
                times: self.times.clone(),
                batches: self.batches.clone(),
            };
            let followed = FollowedMember {
                address: member.address,
                task: tokio::spawn(collector.run()).abort_handle(),
            };
            self.followed_members.insert(name.clone(), followed);
        }
    }

    pub(super) fn stop(&self) {
        for followed in self.followed_members.values() {
            followed.task.abort();
        }
    }
}
