//! Configurations as the operator sends them.

/// Returns a configuration with a safe, an unsafe and a stream route to the service `board`.
pub fn config(version: u64) -> String {
    build(version, "")
}

/// Returns the same configuration with a model engine for the service.
pub fn config_with_engine(version: u64, engine: &str) -> String {
    build(version, &format!(r#","engine":{engine}"#))
}

fn build(version: u64, engine: &str) -> String {
    let route = |name: &str, kind: &str, extra: &str| {
        format!(
            r#"{{"name":"r-{name}","host":"site.example","path_prefix":"/{name}/","kind":"{kind}","timeout_ms":8000,"target_latency_ms":400,"priority":1,"service":"board","max_attempts":2,"public":false{extra}}}"#
        )
    };
    let stream = r#","sticky":true,"resumable":true,"gap_target_ms":120"#;
    let routes = [
        route("fetch", "safe", ""),
        route("post", "unsafe", ""),
        route("draft", "stream", stream),
        route(&format!("only-{version}"), "safe", ""),
    ];
    format!(
        r#"{{"version":{version},"route_table":[{}],"services":[{{"name":"board","health_path":"/healthz","max_connections":278,"protocol":"h1","tls":false{engine}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

pub const KEY: &str = "Token n2ctnfzs989anu6wsjnb";
