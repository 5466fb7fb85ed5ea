//! News to be passed on: each a bounded number of times, the least told first.
use crate::names::Subject;
use cluster_types::MemberId;
use std::collections::{BTreeMap, BTreeSet};

/// What a piece of news is about. Members come before claims.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum About {
    Member(MemberId),
    Claim(Subject, MemberId),
}

impl About {
    fn class(&self) -> u8 {
        u8::from(matches!(self, About::Claim(..)))
    }
}

/// After so many pieces that did not fit no more are tried.
const TRIES: u32 = 6;

/// Each piece is in it once, so that it is bounded as the tables are.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    told: BTreeMap<About, u32>,
    order: BTreeSet<(u8, u32, About)>,
}

impl Queue {
    pub fn is_empty(&self) -> bool {
        self.told.is_empty()
    }

    /// Has it told anew.
    pub fn put(&mut self, about: About) {
        self.drop(&about);
        self.order.insert((about.class(), 0, about.clone()));
        self.told.insert(about, 0);
    }

    pub fn drop(&mut self, about: &About) {
        if let Some(count) = self.told.remove(about) {
            self.order.remove(&(about.class(), count, about.clone()));
        }
    }

    /// Hands out pieces that `take` has room for (it says whether; none: nothing to tell any more), each at most `limit` times.
    pub fn pick(&mut self, limit: u32, mut take: impl FnMut(&About) -> Option<bool>) {
        let (mut taken, mut gone, mut missed) = (Vec::new(), Vec::new(), 0);
        for (_, count, about) in &self.order {
            match take(about) {
                Some(true) => taken.push((*count, about.clone())),
                Some(false) => missed += 1,
                None => gone.push(about.clone()),
            }
            if missed >= TRIES {
                break;
            }
        }
        for about in gone {
            self.drop(&about);
        }
        for (count, about) in taken {
            self.drop(&about);
            if count + 1 < limit {
                self.order.insert((about.class(), count + 1, about.clone()));
                self.told.insert(about, count + 1);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_piece_is_told_so_often_and_the_least_told_first() {
        let mut queue = Queue::default();
        let about: Vec<About> = (0..10).map(|i| About::Member(format!("m{i}").as_str().into())).collect();
        about.iter().for_each(|one| queue.put(one.clone()));
        let mut times: BTreeMap<About, u32> = BTreeMap::new();
        while !queue.is_empty() {
            let mut room = 3;
            queue.pick(4, |one| {
                let fits = room > 0;
                if fits {
                    room -= 1;
                    *times.entry(one.clone()).or_default() += 1;
                }
                Some(fits)
            });
            let (low, high) = (times.values().min(), times.values().max());
            assert!(times.len() < 10 || high.unwrap() - low.unwrap() <= 1);
        }
        assert_eq!(times.len(), 10);
        assert!(times.values().all(|count| *count == 4));
        assert!(queue.order.is_empty());
    }

    #[test]
    fn what_is_gone_is_not_told() {
        let mut queue = Queue::default();
        queue.put(About::Member("m".into()));
        queue.pick(4, |_| None);
        assert!(queue.is_empty() && queue.order.is_empty());
    }
}
