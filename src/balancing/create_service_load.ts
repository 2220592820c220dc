import type { ServiceLoad } from "./service_load.ts";

/** Creates the load of a service of which nothing was reported yet. */
export function createServiceLoad(): ServiceLoad {
  return {
    busyShare: 0,
    answerMilliseconds: new Map(),
    serviceMilliseconds: new Map(),
  };
}
