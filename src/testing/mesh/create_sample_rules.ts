import type { Rules } from "../../routing/rules.ts";

/** Creates rules of version 1 without routes and services; `overrides` replaces fields. */
export function createSampleRules(overrides: Partial<Rules> = {}): Rules {
  return {
    version: 1,
    routes: [],
    services: new Map(),
    limits: {
      headerBytesMaximum: 1,
      bodyBytesMaximum: 1,
      headerMilliseconds: 1,
      idleMilliseconds: 1,
    },
    organisations: new Map(),
    ...overrides,
  };
}
