import { encodeNodeRefusal } from "../calls/encode_node_refusal.ts";
import type { Refusal } from "../calls/refusal.ts";
import { refusalTable } from "../calls/refusal_table.ts";
import { formatRawResponse } from "./format_raw_response.ts";

/** Returns the text of an HTTP/1.1 response that refuses a call to the node that forwarded it. */
export function formatRawNodeRefusal(refusal: Refusal): string {
  return formatRawResponse({
    status: refusalTable[refusal.reason].status,
    headers: encodeNodeRefusal({ refusal, keySettled: false }),
    body: "",
  });
}
