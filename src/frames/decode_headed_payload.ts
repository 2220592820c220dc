import { tryParseJson } from "../daemon/try_parse_json.ts";

const lengthBytes = 4;

/** Decodes a payload of head and body; returns undefined if it is not valid. */
export function decodeHeadedPayload(
  payload: Buffer,
): { readonly head: unknown; readonly body: Buffer } | undefined {
  if (payload.byteLength < lengthBytes) return undefined;
  const end = lengthBytes + payload.readUInt32BE();
  if (end > payload.byteLength) return undefined;
  const head = tryParseJson(payload.toString("utf8", lengthBytes, end));
  return head === undefined ? undefined : { head, body: payload.subarray(end) };
}
