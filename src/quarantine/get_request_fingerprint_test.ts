import test from "ava";
import { getRequestFingerprint } from "./get_request_fingerprint.ts";

const request = {
  method: "POST",
  host: "shop.example",
  url: "/cakes/1",
  callerService: "vitrine",
  body: Buffer.from("order"),
};

// Guards against a request that is not known again, or taken for another one.
test("the same request has the same fingerprint, and each part of it counts", (t) => {
  const fingerprint = getRequestFingerprint(request);
  t.is(getRequestFingerprint({ ...request }), fingerprint);
  const others = [
    { ...request, method: "PUT" },
    { ...request, host: "shop" },
    { ...request, url: "/cakes/2" },
    { ...request, callerService: "fornadas" },
    { ...request, body: Buffer.from("orders") },
  ];
  const fingerprints = [request, ...others].map(getRequestFingerprint);
  t.is(new Set(fingerprints).size, fingerprints.length);
});
