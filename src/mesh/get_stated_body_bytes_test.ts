import test from "ava";
import { getStatedBodyBytes } from "./get_stated_body_bytes.ts";

test("the stated length of an answer is passed on if the answer has a body", (t) => {
  const headers = { "content-length": "12" };
  t.is(getStatedBodyBytes({ headers, statusCode: 200 }, "GET"), 12);
  t.is(getStatedBodyBytes({ headers, statusCode: 200 }, "HEAD"), undefined);
  t.is(getStatedBodyBytes({ headers, statusCode: 304 }, "GET"), undefined);
  t.is(
    getStatedBodyBytes({ headers: {}, statusCode: 200 }, "GET"),
    undefined,
  );
  t.is(
    getStatedBodyBytes({
      headers: { ...headers, "transfer-encoding": "chunked" },
      statusCode: 200,
    }, "GET"),
    undefined,
  );
});
