//! Serializes digests as 16 bytes in messages and as text in human-readable formats.

use carawayseam_types::Digest;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

const DIGEST_BYTES: usize = 16;

pub(crate) fn serialize<S: Serializer>(digest: &Digest, serializer: S) -> Result<S::Ok, S::Error> {
    if serializer.is_human_readable() {
        digest.serialize(serializer)
    } else {
        digest.0.to_le_bytes().serialize(serializer)
    }
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Digest, D::Error> {
    if deserializer.is_human_readable() {
        return Digest::deserialize(deserializer);
    }
    let bytes = <[u8; DIGEST_BYTES]>::deserialize(deserializer)?;
    Ok(Digest(u128::from_le_bytes(bytes)))
}
