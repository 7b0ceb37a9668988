//! HTTP with nothing automatic.

use carawayseam_types::Millis;
use reqwest::redirect::Policy;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::CallError;

const DEFAULT_CONNECT_TIMEOUT: Millis = Millis(1_000);

/// An HTTP client that neither resends, nor follows redirects, nor uses proxies.
#[derive(Debug, Clone)]
pub struct Http(reqwest::Client);

/// Makes an [`Http`].
#[derive(Debug, Clone)]
pub struct HttpBuilder {
    connect_timeout: Millis,
    timeout: Option<Millis>,
    disable_pooling: bool,
}

impl Http {
    /// Begins with a connect timeout of a second and no other limit.
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
    /// How long a connection may take to be made.
    #[must_use]
    pub const fn connect_timeout(mut self, timeout: Millis) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// How long a whole call may take.
    #[must_use]
    pub const fn timeout(mut self, timeout: Millis) -> Self {
        self.timeout = Some(timeout);
        self
    }

    /// Uses each connection once.
    ///
    /// The library's pool sends a request again by itself when a connection
    /// from the pool turns out to be closed. A fresh connection never is, so
    /// calls that may not be repeated go over these only.
    #[must_use]
    pub const fn disable_pooling(mut self) -> Self {
        self.disable_pooling = true;
        self
    }

    /// Makes the client.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] when the library cannot be set up.
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

/// Sends a request and gives its answer, whatever the status.
pub(crate) async fn send(req: reqwest::RequestBuilder) -> Result<reqwest::Response, CallError> {
    req.send().await.map_err(CallError::from_http)
}

/// Sends a request and reads a successful answer as JSON.
pub(crate) async fn send_json<T: DeserializeOwned>(req: reqwest::RequestBuilder) -> Result<T, CallError> {
    let answer = send(req).await?;
    if !answer.status().is_success() {
        return Err(CallError::Status {
            status: answer.status().as_u16(),
        });
    }
    read_json(answer).await
}

/// Reads an answer's body as JSON.
pub(crate) async fn read_json<T: DeserializeOwned>(answer: reqwest::Response) -> Result<T, CallError> {
    let body = answer.bytes().await.map_err(CallError::ResponseLost)?;
    serde_json::from_slice(&body).map_err(CallError::MalformedResponse)
}
