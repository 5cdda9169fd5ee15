//! Path prefixes, matched by whole segments.

use rustc_hash::FxHashMap;

use super::error::PrefixFault;

/// Maximum length of a route's prefix, in bytes.
pub(super) const MAX_PREFIX_BYTES: usize = 4096;

/// Validates a route's prefix and strips its trailing slashes. The empty prefix matches all paths.
pub(super) fn parse(stated: &str) -> Result<&str, PrefixFault> {
    if stated.len() > MAX_PREFIX_BYTES {
        return Err(PrefixFault::Long(stated.len()));
    }
    if !stated.is_empty() && !stated.starts_with('/') {
        return Err(PrefixFault::NoSlash);
    }
    let is_invalid = |c: &char| matches!(c, '?' | '#' | ' ') || c.is_control();
    match stated.chars().find(is_invalid) {
        Some(c) => Err(PrefixFault::Character(c)),
        None => Ok(stated.trim_end_matches('/')),
    }
}

/// The prefixes of the routes of one host, each with its target.
#[derive(Debug, Default)]
pub(super) struct Prefixes {
    /// Target of the empty prefix, for paths that match no other.
    catch_all: Option<usize>,
    targets: FxHashMap<Box<str>, usize>,
    /// Largest number of segments of any prefix. Segments of a path beyond it are not looked up.
    max_segments: usize,
    /// Largest length of any prefix in bytes, with the same effect.
    max_bytes: usize,
}

impl Prefixes {
    /// Adds a prefix as returned by [`parse`]. If it already exists, returns its target as the error.
    pub(super) fn insert(&mut self, prefix: &str, target: usize) -> Result<(), usize> {
        if prefix.is_empty() {
            return match self.catch_all {
                Some(existing) => Err(existing),
                None => {
                    self.catch_all = Some(target);
                    Ok(())
                }
            };
        }
        if let Some(existing) = self.targets.get(prefix) {
            return Err(*existing);
        }
        self.targets.insert(prefix.into(), target);
        self.max_segments = self.max_segments.max(prefix.matches('/').count());
        self.max_bytes = self.max_bytes.max(prefix.len());
        Ok(())
    }

    pub(super) fn shrink_to_fit(&mut self) {
        self.targets.shrink_to_fit();
    }

    /// The target of the longest prefix that matches `path`. Adds the number of hash table look-ups to `lookups`.
    pub(super) fn find(&self, path: &str, lookups: &mut usize) -> Option<usize> {
        let mut rest = self.truncate(path);
        while !rest.is_empty() {
            *lookups += 1;
            if let Some(target) = self.targets.get(rest) {
                return Some(*target);
            }
            // A path that does not begin with a slash ends the loop here too.
            rest = rest.rfind('/').map_or("", |slash| &rest[..slash]);
        }
        self.catch_all
    }

    /// Cuts `path` after the last whole segment within `max_segments` and `max_bytes`: no prefix can match more of it.
    fn truncate<'a>(&self, path: &'a str) -> &'a str {
        let mut end = 0;
        for _ in 0..self.max_segments {
            let Some(segment) = path.get(end + 1..) else { break };
            let next = segment.find('/').map_or(path.len(), |i| end + 1 + i);
            if next > self.max_bytes {
                break;
            }
            end = next;
        }
        &path[..end]
    }
}
