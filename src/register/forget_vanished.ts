import type { RegisterState } from "./register_state.ts";

/** How long a removed entry stays a possible target; longer than a usual outage of the source. */
const vanishedMilliseconds = 20_000;

/** Drops the records that were removed long ago. */
export function forgetVanished(state: RegisterState, now: number): void {
  Array.from(state.values())
    .filter(({ vanishedAt }) =>
      vanishedAt > 0 && vanishedAt + vanishedMilliseconds <= now
    )
    .forEach(({ entry }) => state.delete(entry.identifier));
}
