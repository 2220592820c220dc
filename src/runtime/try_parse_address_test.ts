import test from "ava";
import { formatAddress } from "./format_address.ts";
import { tryParseAddress } from "./try_parse_address.ts";

test("tryParseAddress() parses the output of formatAddress()", (t) => {
  ["127.0.0.1:80", "[::1]:65535"].forEach((text) => {
    const address = tryParseAddress(text);
    t.truthy(address);
    t.is(address && formatAddress(address), text);
  });
});

test("tryParseAddress() rejects host names, missing parts and ports out of range", (t) => {
  [
    "localhost:80",
    "127.0.0.1",
    "127.0.0.1:65536",
    "127.0.0.1:-1",
    ":80",
    "::1:80",
    "",
  ]
    .forEach((text) => t.is(tryParseAddress(text), undefined, text));
});
