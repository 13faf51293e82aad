//! Prefix chains, block index, link ledger and the placement decision.
