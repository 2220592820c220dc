import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import { getFallbackReadInstant } from "./get_fallback_read_instant.ts";

/**
 * Notes that the platform answered some node at an instant. A node that is no
 * reader puts off its own read, since the readers do their work.
 */
export function notePlatformHeard(
  state: DistributionState,
  heard: { readonly at: number; readonly context: DistributionContext },
): DistributionState {
  const { platform } = state;
  return heard.at <= platform.heardAt ? state : {
    ...state,
    platform: {
      ...platform,
      heardAt: heard.at,
      nextReadAt: platform.isReader
        ? platform.nextReadAt
        : getFallbackReadInstant(state, {
          heardAt: heard.at,
          random: heard.context.random,
        }),
    },
  };
}
