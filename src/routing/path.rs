//! Prefixes of paths, by whole segments.

use rustc_hash::FxHashMap;

use super::error::PrefixFault;

/// Longest prefix that is taken, in bytes.
pub(super) const MAX_PREFIX_BYTES: usize = 4096;

/// A route's prefix without trailing slashes: empty for all paths.
pub(super) fn read(stated: &str) -> Result<&str, PrefixFault> {
    if stated.len() > MAX_PREFIX_BYTES {
        return Err(PrefixFault::Long(stated.len()));
    }
    if !stated.is_empty() && !stated.starts_with('/') {
        return Err(PrefixFault::NoSlash);
    }
    let foreign = |c: &char| matches!(c, '?' | '#' | ' ') || c.is_control();
    match stated.chars().find(foreign) {
        Some(c) => Err(PrefixFault::Character(c)),
        None => Ok(stated.trim_end_matches('/')),
    }
}

/// The prefixes of one host and what each leads to.
#[derive(Debug, Default)]
pub(super) struct Prefixes {
    /// What all paths lead to that have no longer prefix.
    all: Option<usize>,
    targets: FxHashMap<Box<str>, usize>,
    /// Most segments, and most bytes, of any prefix: what is beyond them in a path is not looked at.
    deepest: usize,
    longest: usize,
}

impl Prefixes {
    /// Takes a prefix as [`read`] gives it, unless it is there: then gives what it leads to.
    pub(super) fn insert(&mut self, prefix: &str, target: usize) -> Result<(), usize> {
        if prefix.is_empty() {
            return match self.all {
                Some(there) => Err(there),
                None => {
                    self.all = Some(target);
                    Ok(())
                }
            };
        }
        if let Some(there) = self.targets.get(prefix) {
            return Err(*there);
        }
        self.targets.insert(prefix.into(), target);
        self.deepest = self.deepest.max(prefix.matches('/').count());
        self.longest = self.longest.max(prefix.len());
        Ok(())
    }

    pub(super) fn shrink(&mut self) {
        self.targets.shrink_to_fit();
    }

    /// What the longest prefix of `path` leads to; adds the look-ups that this took to `count`.
    pub(super) fn find(&self, path: &str, count: &mut usize) -> Option<usize> {
        let mut rest = self.reach(path);
        while !rest.is_empty() {
            *count += 1;
            if let Some(target) = self.targets.get(rest) {
                return Some(*target);
            }
            // A path that begins with no slash ends here too.
            rest = rest.rfind('/').map_or("", |border| &rest[..border]);
        }
        self.all
    }

    /// The leading whole segments of `path` that are not more, nor longer, than those of the deepest and longest
    /// prefix.
    fn reach<'a>(&self, path: &'a str) -> &'a str {
        let mut end = 0;
        for _ in 0..self.deepest {
            let Some(segment) = path.get(end + 1..) else { break };
            let next = segment.find('/').map_or(path.len(), |i| end + 1 + i);
            if next > self.longest {
                break;
            }
            end = next;
        }
        &path[..end]
    }
}
