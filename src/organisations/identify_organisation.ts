import { Result } from "true-myth";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { hashApiKey } from "./hash_api_key.ts";
import type { KeyIndex } from "./key_index.ts";
import type { Organisation } from "./organisation.ts";

/**
 * Returns the organisation of a caller, undefined for a call to a public route
 * without a valid key, or the reason to refuse the call.
 *
 * Rules that may be out of date neither accept nor reject a key: it may have
 * been withdrawn or added meanwhile.
 */
export function identifyOrganisation(
  key: string | undefined,
  options: {
    readonly index: KeyIndex;
    /** Whether the route needs no key. */
    readonly isPublic: boolean;
    /** Whether the rules may be too old to decide on a key. */
    readonly isStale: boolean;
  },
): Result<Organisation | undefined, RefusalReason> {
  const { index, isPublic, isStale } = options;
  if (isStale) {
    return isPublic
      ? Result.ok(undefined)
      : Result.err(RefusalReason.ApiKeysUnconfirmed);
  }
  const organisation = key === undefined
    ? undefined
    : index.get(hashApiKey(key));
  if (organisation !== undefined || isPublic) return Result.ok(organisation);
  return Result.err(
    key === undefined
      ? RefusalReason.ApiKeyMissing
      : RefusalReason.ApiKeyUnknown,
  );
}
