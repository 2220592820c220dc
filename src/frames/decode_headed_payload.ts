import { tryParseJson } from "../daemon/try_parse_json.ts";
import { headLengthBytes } from "./head_length_bytes.ts";

/** Decodes a payload of head and body; returns undefined if it is not valid. */
export function decodeHeadedPayload(
  payload: Buffer,
): { readonly head: unknown; readonly body: Buffer } | undefined {
  if (payload.byteLength < headLengthBytes) return undefined;
  const end = headLengthBytes + payload.readUInt32BE();
  if (end > payload.byteLength) return undefined;
  const head = tryParseJson(payload.toString("utf8", headLengthBytes, end));
  return head === undefined ? undefined : { head, body: payload.subarray(end) };
}
