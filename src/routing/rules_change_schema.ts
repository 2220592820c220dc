import * as z from "zod";
import { CallKind } from "./call_kind.ts";
import type { RulesChange } from "./rules_change.ts";

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  kind: z.enum(CallKind),
  attemptsMaximum: z.number(),
  timeoutMilliseconds: z.number(),
  goalMilliseconds: z.number(),
  priority: z.number(),
  isPublic: z.boolean().default(false),
  targets: z.array(z.object({ service: z.string(), weight: z.number() })),
});

const serviceSchema = z.object({
  name: z.string(),
  healthPath: z.string(),
  connectionsMaximum: z.number(),
  coldMilliseconds: z.number(),
  coldCallsPerSecond: z.number(),
});

const limitsSchema = z.object({
  headerBytesMaximum: z.number(),
  bodyBytesMaximum: z.number(),
  headerMilliseconds: z.number(),
  idleMilliseconds: z.number(),
});

const organisationSchema = z.object({
  name: z.string(),
  keyHashes: z.array(z.string()),
  priority: z.number().optional().transform((priority) => priority),
  callsPerSecond: z.number(),
  burstCalls: z.number(),
});

/** Validates a change of the rules that another node sends. */
export const rulesChangeSchema: z.ZodType<RulesChange> = z.object({
  version: z.number(),
  from: z.number().optional().transform((from) => from),
  routes: z.array(routeSchema),
  removedRoutes: z.array(z.string()),
  services: z.array(serviceSchema),
  limits: limitsSchema,
  // Absent in a change from a node of an earlier version.
  organisations: z.array(organisationSchema).default([]),
  removedOrganisations: z.array(z.string()).default([]),
});
