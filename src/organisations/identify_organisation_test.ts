import test from "ava";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { hashApiKey } from "./hash_api_key.ts";
import { identifyOrganisation } from "./identify_organisation.ts";
import type { Organisation } from "./organisation.ts";

const bakery: Organisation = {
  name: "bakery",
  keyHashes: [hashApiKey("bakery-key")],
  priority: 1,
  callsPerSecond: 0,
  burstCalls: 0,
};
const index = new Map([[hashApiKey("bakery-key"), bakery]]);

/** Returns the name of the organisation, or the reason of the refusal. */
function identify(
  key: string | undefined,
  { isPublic = false, isStale = false } = {},
): string | undefined {
  return identifyOrganisation(key, { index, isPublic, isStale }).match({
    Ok: (organisation) => organisation?.name,
    Err: (reason) => reason,
  });
}

test("a route that is not public needs a key that an organisation holds", (t) => {
  t.is(identify("bakery-key"), "bakery");
  t.is(identify("bakery-key "), RefusalReason.ApiKeyUnknown);
  t.is(identify(hashApiKey("bakery-key")), RefusalReason.ApiKeyUnknown);
  t.is(identify(undefined), RefusalReason.ApiKeyMissing);
});

test("a public route refuses no call, and a valid key still names the organisation", (t) => {
  t.is(identify(undefined, { isPublic: true }), undefined);
  t.is(identify("other-key", { isPublic: true }), undefined);
  t.is(identify("bakery-key", { isPublic: true }), "bakery");
});

test("rules that may be too old neither accept nor reject a key, and public routes go on", (t) => {
  ["bakery-key", "other-key", undefined].forEach((key) => {
    t.is(identify(key, { isStale: true }), RefusalReason.ApiKeysUnconfirmed);
    t.is(identify(key, { isStale: true, isPublic: true }), undefined);
  });
});
