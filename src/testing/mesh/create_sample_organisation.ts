import { hashApiKey } from "../../organisations/hash_api_key.ts";
import type { Organisation } from "../../organisations/organisation.ts";

/** Creates an organisation with keys, without a priority or a quota; `overrides` replaces fields. */
export function createSampleOrganisation(
  name: string,
  options: { readonly keys: readonly string[] } & Partial<Organisation>,
): Organisation {
  const { keys, ...overrides } = options;
  return {
    name,
    keyHashes: keys.map(hashApiKey),
    priority: undefined,
    callsPerSecond: 0,
    burstCalls: 0,
    ...overrides,
  };
}
