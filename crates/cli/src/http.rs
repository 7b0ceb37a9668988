//! Plain reads over HTTP from processes that have no client of their own.

use carawayseam_types::Millis;
use reqwest::redirect::Policy;
use reqwest::{Client, retry};

/// Makes a client that does nothing by itself.
pub(crate) fn client(timeout: Millis) -> Result<Client, reqwest::Error> {
    Client::builder()
        .retry(retry::never())
        .redirect(Policy::none())
        .no_proxy()
        .timeout(timeout.to_duration())
        .build()
}

/// Reads a JSON answer.
pub(crate) async fn get_json<T: serde::de::DeserializeOwned>(
    client: &Client,
    url: &str,
) -> Result<T, reqwest::Error> {
    client.get(url).send().await?.error_for_status()?.json().await
}
