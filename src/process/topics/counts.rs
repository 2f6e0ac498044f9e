//! Shares of the topics in the requests of a route.
//!
//! The counts are those of the Space-Saving algorithm: the memory is bounded, and a topic with more
//! than 1 / [`MAX_TOPICS`] of the requests is always among them.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::TopicHash;

/// Most topics that are counted at a time. A topic with a smaller share than one in this many needs
/// only one server on most sites; the bound on the load covers the others.
pub const MAX_TOPICS: usize = 128;
/// Requests after which all counts are halved, so that the shares are those of recent requests.
const REQUESTS_PER_HALVING: u32 = 128;

/// Requests in which a topic may show that has just become popular.
const LAST_REQUESTS: usize = 8;

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    requests: u32,
    /// How many of the requests may belong to topics whose place this one took.
    error: u32,
}

/// Counts of the most frequent topics.
#[derive(Clone, Debug, Default)]
pub struct TopicCounts {
    by_topic: IndexMap<TopicHash, Count>,
    total: u32,
    /// The topics of the last requests, in which a topic that has just become popular shows first.
    last: VecDeque<TopicHash>,
}

/// The share of a topic with this count, less one standard deviation, so that a few requests do not
/// make a topic popular.
fn certain_share(count: f64, total: f64) -> f64 {
    (count - count.sqrt()) / total
}

impl TopicCounts {
    /// Counts a request.
    pub fn record(&mut self, topic: TopicHash) {
        self.total += 1;
        if self.last.len() >= LAST_REQUESTS {
            self.last.pop_front();
        }
        self.last.push_back(topic);
        if let Some(count) = self.by_topic.get_mut(&topic) {
            count.requests += 1;
        } else {
            let replaced = self.take_place();
            let count = Count {
                requests: replaced + 1,
                error: replaced,
            };
            self.by_topic.insert(topic, count);
        }
        if self.total >= REQUESTS_PER_HALVING {
            self.halve();
        }
    }

    /// Makes room for another topic; returns the count of the topic that is forgotten, 0 if none is.
    fn take_place(&mut self) -> u32 {
        if self.by_topic.len() < MAX_TOPICS {
            return 0;
        }
        let topics = self.by_topic.values().enumerate();
        let rarest = topics.min_by_key(|(_, count)| count.requests);
        let Some((index, count)) = rarest.map(|(index, count)| (index, *count)) else {
            return 0;
        };
        self.by_topic.swap_remove_index(index);
        count.requests
    }

    fn halve(&mut self) {
        self.total /= 2;
        self.by_topic.retain(|_, count| {
            count.requests /= 2;
            count.error /= 2;
            count.requests > 0
        });
    }

    /// The share of a topic in the recent requests, from 0 to below 1.
    pub fn share(&self, topic: TopicHash) -> f64 {
        let count = self.by_topic.get(&topic).copied().unwrap_or_default();
        let certain = f64::from(count.requests - count.error);
        let in_last = self.last.iter().filter(|last| **last == topic).count();
        let share = certain_share(certain, f64::from(self.total.max(1)));
        share.max(certain_share(in_last as f64, LAST_REQUESTS as f64))
    }

    /// The number of topics that are counted.
    pub fn len(&self) -> usize {
        self.by_topic.len()
    }

    /// Whether no topic is counted.
    pub fn is_empty(&self) -> bool {
        self.by_topic.is_empty()
    }
}
