//! Messages of the systems that carawayseam meets from outside, as JSON over HTTP.
//!
//! The clients and the stand-ins share these shapes, so that neither drifts
//! from the other. Each module names its paths as constants.
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
