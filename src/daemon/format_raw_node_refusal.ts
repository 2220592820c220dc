import { encodeNodeRefusal } from "../calls/encode_node_refusal.ts";
import type { Refusal } from "../calls/refusal.ts";
import { refusalTable } from "../calls/refusal_table.ts";
import { formatRawResponse } from "./format_raw_response.ts";

/** Returns the bytes of a refusal towards another node. */
export function formatRawNodeRefusal(refusal: Refusal): string {
  return formatRawResponse({
    status: refusalTable[refusal.reason].status,
    headers: encodeNodeRefusal({ refusal, keySettled: false }),
    body: "",
  });
}
