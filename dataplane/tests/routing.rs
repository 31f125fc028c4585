//! Which requests are admitted, to which service they are sent, and which fields their server gets.

mod common;

use common::configuration::{HOST, OTHER_SERVICE, parsed};
use common::*;
use googletest::prelude::*;
use serde_json::json;

#[gtest]
fn a_request_without_a_route_gets_404_and_reaches_no_server() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let requests = [
            ClientRequest::get("/nowhere/x"),
            ClientRequest::get("/"),
            ClientRequest::get("/safe"),
            ClientRequest::get("/SAFE/x"),
            ClientRequest::get("/x/safe/"),
            ClientRequest::get("/safe/x").host("two.example"),
            ClientRequest::post("/unsafe").host("one.example.two.example"),
        ];
        for request in requests {
            let response = harness.request(&request).await;
            expect_that!(response.status, eq(404), "{} {}", request.host, request.target);
            expect_that!(response.field("X-Request-Id"), some(eq(&*request.id)));
        }
        expect_that!(harness.all_server_requests().await.len(), eq(0));
    });
}

#[gtest]
fn the_longest_prefix_of_the_host_decides_the_service() {
    run(async {
        let body = edited(|body| {
            let mut longer = route("/safe/long/", "safe", 2);
            longer["backend"] = json!(OTHER_SERVICE);
            body["routes"].as_array_mut().expect("routes").push(longer);
        });
        let mut harness = Harness::with_configuration(body, vec![]).await;
        harness.add_server("other", OTHER_SERVICE).await;
        for (target, other) in
            [("/safe/long/x", true), ("/safe/long", false), ("/safe/lon/g/", false), ("/other/", true)]
        {
            let request = ClientRequest::get(target).host("ONE.example:8080");
            let response = harness.request(&request).await;
            expect_that!(response.status, eq(200), "{target}");
            let server_requests = harness.all_server_requests().await;
            let last = server_requests.last().expect("it arrived");
            expect_that!(last.server == "other", eq(other), "{target} came to {}", last.server);
        }
    });
}

#[gtest]
fn an_unknown_key_gets_401_and_reaches_no_server() {
    run(async {
        let harness = Harness::with_configuration(with_tenants(), vec![]).await;
        let requests = [
            ClientRequest::get("/safe/x"),
            ClientRequest::get("/safe/x").field("X-Api-Key", "unknown"),
            ClientRequest::get("/safe/x").field("X-Api-Key", ""),
            ClientRequest::get("/safe/x").field("X-Api-Key", "KEY-RED"),
            ClientRequest::get("/safe/x").field("X-Api-Key", "key-red,key-blue"),
            ClientRequest::get("/safe/x").field("X-Tenant", "red"),
            ClientRequest::post("/unsafe/x").field("Authorization", "key-red"),
        ];
        for request in requests {
            let response = harness.request(&request).await;
            expect_that!(response.status, eq(401), "{:?}", request.fields);
            expect_that!(response.field("X-Request-Id"), some(eq(&*request.id)));
        }
        expect_that!(harness.all_server_requests().await.len(), eq(0));
    });
}

#[gtest]
fn a_server_gets_the_tenant_and_never_the_key() {
    run(async {
        let harness = Harness::with_configuration(with_tenants(), vec![]).await;
        let cases = [
            ("/safe/x", Some("key-red"), vec!["red"]),
            ("/safe/x", Some("key-red-2"), vec!["red"]),
            ("/unsafe/x", Some("key-blue"), vec!["blue"]),
            ("/public/x", Some("key-alone"), vec!["alone"]),
            ("/public/x", None, vec![]),
            ("/public/x", Some("unknown"), vec![]),
        ];
        for (at, (target, key, tenant)) in cases.into_iter().enumerate() {
            let mut request =
                ClientRequest::post(target).field("X-Tenant", "forged").field("x-tenant", "forged too");
            if let Some(key) = key {
                request = request.field("X-Api-Key", key).field("x-api-key", key);
            }
            expect_that!(harness.request(&request).await.status, eq(200), "{target} {key:?}");
            // The scripted servers check for each request that it has no key.
            let server_requests = harness.all_server_requests().await;
            expect_that!(server_requests.len(), eq(at + 1));
            expect_that!(
                server_requests.last().map(|last| last.all("X-Tenant")),
                some(eq(&tenant)),
                "{target} {key:?}"
            );
        }
    });
}

#[gtest]
fn a_tenant_that_a_client_claims_is_not_forwarded_where_no_keys_are_required() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let request =
            ClientRequest::get("/safe/x").field("X-Tenant", "forged").field("X-Api-Key", "anything");
        expect_that!(harness.request(&request).await.status, eq(200));
        expect_that!(harness.all_server_requests().await[0].all("X-Tenant"), is_empty());
    });
}

#[gtest]
fn method_target_and_id_reach_the_server_unchanged() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let targets = [
            "/safe/",
            "/safe/x?",
            "/safe/a%20b%2f?x=1&y=%2F//../&x=2",
            "/safe/../unsafe/./x",
            "/safe//x;p=1/*'()!$,~?a[]=b#c",
            "/safe/?q=%zz",
        ];
        let ids = ["9c41d07be2a35f68", "A", "with-_.~!odd:\"signs\"", "0"];
        for method in ["GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "ODD-METHOD"] {
            for (at, target) in targets.iter().enumerate() {
                let request = ClientRequest::new(method, target).id(ids[at % ids.len()]);
                let response = harness.request(&request).await;
                expect_that!(response.status, eq(200), "{method} {target}");
                let server_requests = harness.all_server_requests().await;
                let last = server_requests.last().expect("it arrived");
                expect_that!((&*last.method, &*last.target, last.id()), eq((method, *target, &*request.id)));
                expect_that!(last.all("Host"), elements_are![eq(&HOST)]);
            }
        }
    });
}

/// A body with bytes of all values, which differs at each offset.
fn body(length: usize) -> Vec<u8> {
    (0..length).map(|at| (at * 31 + at / 251) as u8).collect()
}

#[gtest]
fn bodies_with_a_length_and_in_chunks_reach_the_server_unchanged() {
    run(async {
        let harness = Harness::new(vec![]).await;
        for length in [0, 1, 2, 4095, 4096, 4097, 65_536, 200_000] {
            let body = body(length);
            for chunks in [&[][..], &[1000], &[1, 4096, 17], &[usize::MAX]] {
                let request = ClientRequest::post("/unsafe/x").body(&body).in_chunks(chunks);
                expect_that!(harness.request(&request).await.status, eq(200), "{length} {chunks:?}");
                let server_requests = harness.all_server_requests().await;
                let last = server_requests.last().expect("it arrived");
                expect_that!(last.id(), eq(&request.id));
                expect_true!(last.body == body);
                expect_that!(last.field("Content-Length"), some(eq(&*length.to_string())), "{chunks:?}");
            }
        }
    });
}

#[gtest]
fn other_fields_are_forwarded_and_hop_by_hop_fields_are_not() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let request = ClientRequest::post("/unsafe/x")
            .field("X-Odd", "a: b, \"c\"; d=\tx")
            .field("x-lower", "kept")
            .field("Empty", "")
            .field("Content-Type", "text/odd")
            .field("Cookie", "a=b")
            .field("Connection", "keep-alive, X-Hop")
            .field("X-Hop", "dropped")
            .field("Keep-Alive", "timeout=9")
            .field("TE", "trailers")
            .field("Upgrade", "other")
            .field("Proxy-Connection", "keep-alive");
        expect_that!(harness.request(&request).await.status, eq(200));
        let server_request = &harness.all_server_requests().await[0];
        expect_that!(server_request.field("X-Odd"), some(eq("a: b, \"c\"; d=\tx")));
        expect_that!(server_request.field("x-lower"), some(eq("kept")));
        expect_that!(server_request.field("Empty"), some(eq("")));
        expect_that!(server_request.field("Content-Type"), some(eq("text/odd")));
        expect_that!(server_request.field("Cookie"), some(eq("a=b")));
        for name in ["X-Hop", "Keep-Alive", "TE", "Upgrade", "Proxy-Connection"] {
            expect_that!(server_request.all(name), is_empty(), "{name}");
        }
    });
}

#[gtest]
fn a_generation_bears_the_fields_that_its_server_needs() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let request = ClientRequest::post("/resume/x")
            .generation()
            .field("X-Deadline-Ms", "5000.75")
            .field("Last-Event-Id", "12");
        expect_that!(harness.request(&request).await.status, eq(200));
        let server_request = &harness.all_server_requests().await[0];
        // The scripted servers check for each request that X-Target-Server names them.
        expect_that!(server_request.field("Expect-Version"), some(eq("3")));
        expect_that!(server_request.field("Cache-Salt"), some(not(eq(""))));
        expect_that!(server_request.field("Last-Event-Id"), some(eq("12")));
        expect_that!(server_request.field("X-Model"), some(eq("model-a")));
        expect_that!(server_request.field("X-Token-Count"), some(eq("900,40")));
        expect_that!(server_request.field("X-Prompt-Prefix"), some(eq("a1:400,b2:300,c3:200")));
        expect_that!(server_request.deadline_ms(), all![gt(4000), le(5000)]);
    });
}

#[gtest]
fn the_deadline_shrinks_from_attempt_to_attempt() {
    run(async {
        let gate = Gate::default();
        let late = Box::new(|gate: Gate| -> Script {
            Box::new(move |server_request| {
                let response = with_length(server_request, "503 Full", "X-Not-Run: 1\r\n", b"");
                vec![Step::Wait(gate.clone()), Step::Bytes(response)]
            })
        });
        let harness = Harness::new(vec![late(gate.clone()), ok_response("done")]).await;
        let mut client = harness.client().await;
        client.send(&ClientRequest::get("/safe/x").field("X-Deadline-Ms", "6000").bytes()).await;
        let first = harness.wait_for_requests(1).await[0].deadline_ms();
        // The test is about elapsed time: let some pass before the first server responds.
        let begun = tokio::time::Instant::now();
        while begun.elapsed().as_millis() < 30 {
            tokio::task::yield_now().await;
        }
        gate.open();
        expect_that!(client.response().await.status, eq(200));
        let second = harness.wait_for_requests(2).await[1].deadline_ms();
        expect_that!(first, le(6000));
        expect_that!(second, le(first - 29));
    });
}

#[gtest]
fn the_deadline_is_bounded_by_the_route() {
    run(async {
        let harness = Harness::new(vec![]).await;
        for deadline in ["8000", "86400000", "nonsense", "-4", "NaN", "inf"] {
            let request = ClientRequest::get("/short/x").field("X-Deadline-Ms", deadline);
            expect_that!(harness.request(&request).await.status, eq(200), "{deadline}");
        }
        let mut without = ClientRequest::get("/short/x");
        without.fields.clear();
        expect_that!(harness.request(&without).await.status, eq(200));
        for server_request in harness.all_server_requests().await {
            expect_that!(server_request.deadline_ms(), all![gt(0), le(250)]);
        }
    });
}

#[gtest]
fn a_client_can_not_set_fields_of_the_node() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let names = [
            "Expect-Version",
            "Cache-Salt",
            "Kv-Fetch",
            "Kv-Save",
            "Priority",
            "X-Not-Run",
            "X-Target-Server",
        ];
        let request =
            names.iter().fold(ClientRequest::get("/safe/x"), |request, name| request.field(name, "forged"));
        let request =
            names.iter().fold(request, |request, name| request.field(&name.to_lowercase(), "forged"));
        expect_that!(harness.request(&request).await.status, eq(200));
        let server_request = &harness.all_server_requests().await[0];
        for name in names {
            expect_that!(server_request.all(name), not(contains(eq(&"forged"))), "{name}");
        }
    });
}

#[gtest]
fn an_isolated_tenant_has_a_salt_of_its_own() {
    run(async {
        let harness = Harness::with_configuration(with_tenants(), vec![]).await;
        for key in ["key-red", "key-blue", "key-alone", "key-alone"] {
            let request = ClientRequest::post("/resume/x")
                .generation()
                .field("X-Api-Key", key)
                .field("Cache-Salt", "forged");
            expect_that!(harness.request(&request).await.status, eq(200));
        }
        let request = ClientRequest::post("/public/x").generation();
        expect_that!(harness.request(&request).await.status, eq(200));
        let server_requests = harness.all_server_requests().await;
        let salts: Vec<&str> =
            server_requests.iter().map(|one| one.field("Cache-Salt").expect("a salt")).collect();
        expect_that!(salts[0], eq(salts[1]));
        expect_that!(salts[2], eq(salts[3]));
        expect_that!(salts[2], not(eq(salts[0])));
        expect_that!(salts[4], eq(salts[0]));
    });
}

#[gtest]
fn the_priority_of_a_tenant_overrides_that_of_the_route() {
    run(async {
        let body = {
            let mut body = with_tenants();
            body["routes"][0]["priority"] = json!(3);
            body
        };
        let harness = Harness::with_configuration(body, vec![]).await;
        for (key, target) in [("key-red", "/safe/x"), ("key-blue", "/safe/x"), ("key-blue", "/unsafe/x")] {
            let request = ClientRequest::get(target).field("X-Api-Key", key).field("Priority", "0");
            expect_that!(harness.request(&request).await.status, eq(200));
        }
        let server_requests = harness.all_server_requests().await;
        expect_that!(server_requests[0].field("Priority"), some(eq("1")));
        expect_that!(server_requests[1].field("Priority"), some(eq("3")));
        // A server assumes 5 if the field is absent.
        expect_that!(server_requests[2].field("Priority").unwrap_or("5"), eq("5"));
    });
}

#[gtest]
fn a_node_without_a_configuration_responds_with_503() {
    run(async {
        let harness = Harness::with(Options { configuration: None, ..Options::default() }, vec![]).await;
        let response = harness.request(&ClientRequest::post("/unsafe/x")).await;
        expect_that!(response.status, eq(503));
        expect_that!(response.retry_after(), some(gt(0.0)));
        expect_that!(harness.all_server_requests().await.len(), eq(0));
    });
}

#[gtest]
fn the_newest_configuration_applies_to_open_connections() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let mut client = harness.client().await;
        expect_that!(client.request(&ClientRequest::get("/safe/x")).await.status, eq(200));
        expect_that!(client.request(&ClientRequest::get("/new/x")).await.status, eq(404));
        let newer = edited(|body| {
            body["version"] = json!(9);
            body["routes"] = json!([route("/new/", "safe", 1)]);
            body["customers"] = json!([{"name": "red", "apiKeys": ["key-red"]}]);
        });
        harness.plane.set_configuration(parsed(&newer));
        let request = ClientRequest::get("/new/x").field("X-Api-Key", "key-red");
        expect_that!(client.request(&request).await.status, eq(200));
        expect_that!(client.request(&ClientRequest::get("/new/x")).await.status, eq(401));
        expect_that!(client.request(&ClientRequest::get("/safe/x")).await.status, eq(404));
        // An older configuration, or another one of the same version, changes nothing.
        for version in [5, 9] {
            harness.plane.set_configuration(parsed(&edited(|body| body["version"] = json!(version))));
            expect_that!(client.request(&ClientRequest::get("/safe/x")).await.status, eq(404));
            expect_that!(client.request(&request).await.status, eq(200));
        }
    });
}

#[gtest]
fn requests_are_split_by_weight_and_a_repeated_id_goes_the_same_way() {
    run(async {
        let body = edited(|body| {
            let mut split = route("/split/", "safe", 1);
            split.as_object_mut().expect("a route").remove("backend");
            split["trafficSplit"] =
                json!([{"backend": "alpha", "weight": 30}, {"backend": "beta", "weight": 10}]);
            body["routes"].as_array_mut().expect("routes").push(split);
        });
        let mut harness = Harness::with_configuration(body, vec![]).await;
        harness.add_server("other", OTHER_SERVICE).await;
        let mut client = harness.client().await;
        let requests: Vec<ClientRequest> = (0..200).map(|_| ClientRequest::get("/split/x")).collect();
        for request in requests.iter().chain(&requests) {
            expect_that!(client.request(request).await.status, eq(200));
        }
        let server_requests = harness.all_server_requests().await;
        let to_other: Vec<bool> =
            server_requests.iter().map(|server_request| server_request.server == "other").collect();
        expect_that!(to_other[..200], eq(&to_other[200..]));
        // A quarter of 200, give or take four standard deviations.
        expect_that!(to_other[..200].iter().filter(|other| **other).count(), all![gt(25), lt(75)]);
    });
}
