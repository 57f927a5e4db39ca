//! An HTTP client that sends a caller's requests to an entry and parses the answers.

use std::time::Duration;

use bilberryloft_protocol::problem::Problem;
use bilberryloft_transport::http::HttpClient;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;

/// HTTP client with the token of a team and extra request headers.
#[derive(Clone, Debug)]
pub struct Caller {
    http: HttpClient,
    token: String,
    headers: Vec<(String, String)>,
}

/// Answer or refusal that a caller received.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status code; 0 if there was no answer.
    pub status: u16,
    /// Id of the request, empty if the answer has none.
    pub request_id: String,
    /// Validator of the answer's bytes; empty without one.
    pub validator: String,
    /// Text of the completion, or the body if it is no completion.
    pub text: String,
    /// Problem details, if the request was refused or its stream ended with an error event.
    pub problem: Option<Problem>,
    /// Whether the complete answer arrived: a body to its end, a stream to its `[DONE]` event. False for a refusal.
    pub is_complete: bool,
    /// Id of the last event received from a stream.
    pub last_event_id: Option<String>,
    /// Error text, if sending the request or reading the answer failed.
    pub error: Option<String>,
}

impl Caller {
    /// Creates a caller that authenticates with a token.
    pub fn new(token: &str) -> Caller {
        Caller { http: HttpClient::new(), token: token.to_string(), headers: Vec::new() }
    }

    /// Returns a caller that also sends a header with each request.
    pub fn with_header(&self, name: &str, value: &str) -> Caller {
        let mut caller = self.clone();
        caller.headers.push((name.to_string(), value.to_string()));
        caller
    }

    /// Requests a completion from the model `forecast-writer` and reads the complete answer.
    pub async fn request_completion(&self, entry: &str, prompt: &str, is_streamed: bool) -> Reply {
        let body = json!({"model": "forecast-writer", "prompt": prompt, "stream": is_streamed});
        self.send(entry, "POST", "/v1/completions", &body.to_string()).await
    }

    /// Sends a request and reads the complete answer.
    pub async fn send(&self, entry: &str, method: &str, path: &str, body: &str) -> Reply {
        match self.open_stream(entry, method, path, body).await {
            Ok(stream) => stream.finish().await,
            Err(error) => Reply::failed(error),
        }
    }

    /// Sends a request and returns once the head of the answer has arrived, with the body still unread.
    ///
    /// The error is the text of a failure to build or send the request.
    pub async fn open_stream(
        &self,
        entry: &str,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<ReplyStream, String> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header("authorization", format!("Bearer {}", self.token))
            .header("content-type", "application/json");
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request =
            request.body(Full::new(Bytes::from(body.to_string()))).map_err(|it| it.to_string())?;
        let response = self.http.send(request).await.map_err(|it| it.detail)?;
        let header = |name: &str| {
            let value = response.headers().get(name).and_then(|it| it.to_str().ok());
            value.unwrap_or_default().to_string()
        };
        let reply = Reply {
            status: response.status().as_u16(),
            request_id: header("bilberryloft-request-id"),
            validator: header("etag"),
            text: String::new(),
            problem: None,
            is_complete: false,
            last_event_id: None,
            error: None,
        };
        let content_type = header("content-type");
        Ok(ReplyStream { reply, content_type, body: response.into_body(), buffer: String::new() })
    }
}

/// Answer whose body is still being received.
pub struct ReplyStream {
    /// The part of the answer that has been read so far.
    pub reply: Reply,
    content_type: String,
    body: Incoming,
    buffer: String,
}

impl ReplyStream {
    /// Reads until at least `count` events have arrived; returns false if the body ends or fails before that.
    pub async fn read_events(&mut self, count: usize) -> bool {
        let mut seen = 0;
        while seen < count {
            match self.read_chunk().await {
                Some(events) => seen += events,
                None => return false,
            }
        }
        true
    }

    /// Reads the rest of the body and returns the reply.
    pub async fn finish(mut self) -> Reply {
        while self.read_chunk().await.is_some() {}
        if self.content_type.starts_with("text/event-stream") {
            return self.reply;
        }
        self.reply.text = std::mem::take(&mut self.buffer);
        if self.content_type.starts_with("application/problem+json") {
            self.reply.problem = serde_json::from_str(&self.reply.text).ok();
        } else if self.reply.error.is_none() {
            self.reply.is_complete = true;
            if let Some(content) = message_content(&self.reply.text) {
                self.reply.text = content;
            }
        }
        self.reply
    }

    async fn read_chunk(&mut self) -> Option<usize> {
        match tokio::time::timeout(Duration::from_secs(60), self.body.frame()).await {
            Ok(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                self.buffer.push_str(&String::from_utf8_lossy(&data));
                Some(self.parse_events())
            }
            Ok(Some(Err(error))) => {
                self.reply.error = Some(error.to_string());
                None
            }
            Ok(None) => None,
            Err(_) => {
                self.reply.error = Some("no data received for 60 s".to_string());
                None
            }
        }
    }

    fn parse_events(&mut self) -> usize {
        if !self.content_type.starts_with("text/event-stream") {
            return 0;
        }
        let mut count = 0;
        while let Some(end) = self.buffer.find("\n\n") {
            let event = self.buffer[..end].to_string();
            self.buffer.drain(..end + 2);
            self.parse_event(&event);
            count += 1;
        }
        count
    }

    fn parse_event(&mut self, event: &str) {
        let is_error = event.lines().any(|it| it == "event: error");
        for line in event.lines() {
            if let Some(id) = line.strip_prefix("id: ") {
                self.reply.last_event_id = Some(id.to_string());
            }
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if is_error {
                self.reply.problem = serde_json::from_str(data).ok();
            } else if data == "[DONE]" {
                self.reply.is_complete = true;
            } else if let Some(text) = delta_content(data) {
                self.reply.text.push_str(&text);
            }
        }
    }
}

impl Reply {
    fn failed(error: String) -> Reply {
        Reply {
            status: 0,
            request_id: String::new(),
            validator: String::new(),
            text: String::new(),
            problem: None,
            is_complete: false,
            last_event_id: None,
            error: Some(error),
        }
    }
}

fn message_content(text: &str) -> Option<String> {
    let value: Value = serde_json::from_str(text).ok()?;
    value.pointer("/choices/0/message/content")?.as_str().map(str::to_string)
}

fn delta_content(text: &str) -> Option<String> {
    let value: Value = serde_json::from_str(text).ok()?;
    value.pointer("/choices/0/delta/content")?.as_str().map(str::to_string)
}
