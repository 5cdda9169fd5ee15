//! Prefixes of paths, by whole segments.

use rustc_hash::FxHashMap;

use super::error::PrefixFault;

/// Longest prefix that is taken, in bytes.
pub(super) const MAX_PREFIX_BYTES: usize = 4096;

/// A route's prefix without trailing slashes: empty for all paths.
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

/// The prefixes of one host and what each leads to.
#[derive(Debug, Default)]
pub(super) struct Prefixes {
    /// What all paths lead to that have no longer prefix.
    catch_all: Option<usize>,
    targets: FxHashMap<Box<str>, usize>,
    /// Most segments, and most bytes, of any prefix: what is beyond them in a path is not looked at.
    max_segments: usize,
    max_bytes: usize,
}

impl Prefixes {
    /// Takes a prefix as [`parse`] gives it, unless it is there: then gives what it leads to.
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

    /// What the longest prefix of `path` leads to; adds the look-ups that this took to `lookups`.
    pub(super) fn find(&self, path: &str, lookups: &mut usize) -> Option<usize> {
        let mut rest = self.truncate(path);
        while !rest.is_empty() {
            *lookups += 1;
            if let Some(target) = self.targets.get(rest) {
                return Some(*target);
            }
            // A path that begins with no slash ends here too.
            rest = rest.rfind('/').map_or("", |slash| &rest[..slash]);
        }
        self.catch_all
    }

    /// The leading whole segments of `path` that are not more, nor longer, than those of the deepest and longest
    /// prefix.
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
