//! Messages of the external systems that carawayseam calls, as JSON over HTTP.
//!
//! The clients and the stand-ins share these types, so that they cannot
//! diverge. Each module defines the paths of its system as constants.
//!
//! ```
//! use carawayseam_external::kv::PutRequest;
//!
//! let put = PutRequest::create("claims/x/y/1", "{}".to_owned());
//! assert_eq!(put.expect, Some(0));
//! ```

pub mod engine;
pub mod hosts;
pub mod kv;
pub mod service;
pub mod weights;
