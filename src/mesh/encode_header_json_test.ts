import test from "ava";
import { encodeHeaderJson } from "./encode_header_json.ts";

test("any text is encoded in ASCII and decoded as it was", (t) => {
  const value = { name: 'Confeitaria São João 🍰 "A"\r\nx\u007f' };
  const encoded = encodeHeaderJson(value);
  t.regex(encoded, /^[\x20-\x7e]*$/);
  t.deepEqual(JSON.parse(encoded), value);
});
