//! A 256-bit digest with a hexadecimal text form.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

const DIGEST_BYTES: usize = 32;

/// A 256-bit digest. The hash function is chosen by the crate that computes it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; DIGEST_BYTES]);

/// The error for a text that is not 64 hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a digest is 64 hexadecimal digits")]
pub struct DigestError;

impl Digest {
    /// Returns the first eight bytes as a big-endian number, for sharding and for short forms in logs.
    pub fn prefix(&self) -> u64 {
        let mut leading = [0; 8];
        leading.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(leading)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({:016x})", self.prefix())
    }
}

impl FromStr for Digest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(DigestError);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
            let pair = std::str::from_utf8(pair).map_err(|_| DigestError)?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| DigestError)?;
        }
        Ok(Self(bytes))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        String::deserialize(d)?.parse().map_err(serde::de::Error::custom)
    }
}
