import { getRequestFingerprint } from "../quarantine/get_request_fingerprint.ts";
import type { CallRequest } from "./call_request.ts";

const hostHeader = "host";

/** Returns the fingerprint of a request that began on a VM of `callerService`. */
export function getOfferFingerprint(
  request: CallRequest,
  { callerService }: { readonly callerService: string },
): string {
  const { method, url, headers, body } = request;
  const nameIndex = headers.findIndex((text, index) =>
    index % 2 === 0 && text.toLowerCase() === hostHeader
  );
  const host = nameIndex < 0 ? "" : headers[nameIndex + 1] ?? "";
  return getRequestFingerprint({
    method,
    host: host.toLowerCase(),
    url,
    callerService,
    body,
  });
}
