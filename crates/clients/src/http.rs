//! An HTTP client without automatic retries, redirects or proxies.

use carawayseam_types::Millis;
use reqwest::redirect::Policy;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::CallError;

const DEFAULT_CONNECT_TIMEOUT: Millis = Millis(1_000);

/// An HTTP client that does not retry, follow redirects or use proxies.
#[derive(Debug, Clone)]
pub struct Http(reqwest::Client);

/// Builds an [`Http`].
#[derive(Debug, Clone)]
pub struct HttpBuilder {
    connect_timeout: Millis,
    timeout: Option<Millis>,
    disable_pooling: bool,
}

impl Http {
    /// Returns a builder with a connect timeout of one second and no other limit.
    #[must_use]
    pub const fn builder() -> HttpBuilder {
        HttpBuilder {
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            timeout: None,
            disable_pooling: false,
        }
    }

    pub(crate) fn get(&self, url: &str) -> reqwest::RequestBuilder {
        self.0.get(url)
    }

    pub(crate) fn post<B: Serialize>(&self, url: &str, body: &B) -> reqwest::RequestBuilder {
        self.0.post(url).json(body)
    }
}

impl HttpBuilder {
    /// Sets the timeout for establishing a connection.
    #[must_use]
    pub const fn connect_timeout(mut self, timeout: Millis) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the timeout for a complete call, including the response body.
    #[must_use]
    pub const fn timeout(mut self, timeout: Millis) -> Self {
        self.timeout = Some(timeout);
        self
    }

    /// Uses each connection for one request only.
    ///
    /// The connection pool of the HTTP library resends a request by itself when a
    /// pooled connection turns out to be closed, which cannot happen with a new
    /// connection. Calls that are not idempotent must therefore not be pooled.
    #[must_use]
    pub const fn disable_pooling(mut self) -> Self {
        self.disable_pooling = true;
        self
    }

    /// Builds the client.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if the HTTP library cannot be initialised.
    pub fn build(self) -> Result<Http, CallError> {
        let mut builder = reqwest::Client::builder()
            .retry(reqwest::retry::never())
            .redirect(Policy::none())
            .no_proxy()
            .tcp_nodelay(true)
            .connect_timeout(self.connect_timeout.to_duration());
        if let Some(timeout) = self.timeout {
            builder = builder.timeout(timeout.to_duration());
        }
        if self.disable_pooling {
            builder = builder.pool_max_idle_per_host(0);
        }
        builder.build().map(Http).map_err(CallError::NotSent)
    }
}

/// Sends a request and returns the response, whatever its status.
pub(crate) async fn send(req: reqwest::RequestBuilder) -> Result<reqwest::Response, CallError> {
    req.send().await.map_err(CallError::from_http)
}

/// Sends a request and parses the body of a successful response as JSON.
pub(crate) async fn send_json<T: DeserializeOwned>(req: reqwest::RequestBuilder) -> Result<T, CallError> {
    let response = send(req).await?;
    if !response.status().is_success() {
        return Err(CallError::Status {
            status: response.status().as_u16(),
        });
    }
    read_json(response).await
}

/// Reads the body of a response and parses it as JSON.
pub(crate) async fn read_json<T: DeserializeOwned>(response: reqwest::Response) -> Result<T, CallError> {
    let body = response.bytes().await.map_err(CallError::ResponseLost)?;
    serde_json::from_slice(&body).map_err(CallError::MalformedResponse)
}
