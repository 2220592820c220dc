import * as z from "zod";
import { createWholeNumberSchema } from "../configuration/create_whole_number_schema.ts";
import { nameSchema } from "../configuration/name_schema.ts";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import { NodeState } from "../peers/node_state.ts";
import { instantSchema } from "./instant_schema.ts";
import { versionSchema } from "./version_schema.ts";

const maxPort = 65_535;

/** The schema of a peer record in a control message. */
export const peerRecordSchema = createStrictObjectSchema({
  vm: nameSchema,
  zone: nameSchema,
  nodeAddress: createStrictObjectSchema({
    host: z.string({ error: "an IP address" }).max(45, {
      error: "an IP address",
    }),
    port: createWholeNumberSchema(1, maxPort),
  }),
  incarnation: instantSchema,
  sequence: createWholeNumberSchema(0, Number.MAX_SAFE_INTEGER),
  state: z.enum(NodeState, { error: "a node state" }),
  backendServerState: z.enum(BackendServerState, {
    error: "a backend server state",
  }),
  freeSlots: createWholeNumberSchema(0, Number.MAX_SAFE_INTEGER),
  version: versionSchema.optional(),
}).transform((record) => ({ ...record, version: record.version }));
