import type { CallRequest } from "./call_request.ts";
import { getOfferFingerprint } from "./get_offer_fingerprint.ts";

/**
 * Returns a function that computes the fingerprint of a request at its first
 * call. Most offers are refused or answered without need of it.
 */
export function createFingerprintGetter(
  request: CallRequest,
  options: { readonly callerService: string },
): () => string {
  let fingerprint: string | undefined;
  return () => fingerprint ??= getOfferFingerprint(request, options);
}
