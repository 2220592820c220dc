import * as z from "zod";
import { createWholeNumberSchema } from "../configuration/create_whole_number_schema.ts";
import { nameSchema } from "../configuration/field_schemas.ts";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import { NodeState } from "../peers/node_state.ts";
import { instantSchema } from "./instant_schema.ts";
import { versionSchema } from "./version_schema.ts";

const maxPort = 65_535;

/** The shape of a node's record between nodes. */
export const peerRecordSchema = createStrictObjectSchema({
  vm: nameSchema,
  zone: nameSchema,
  nodeAddress: createStrictObjectSchema({
    host: z.string({ error: "an IP number" }).max(45, {
      error: "an IP number",
    }),
    port: createWholeNumberSchema(1, maxPort),
  }),
  incarnation: instantSchema,
  sequence: createWholeNumberSchema(0, Number.MAX_SAFE_INTEGER),
  state: z.enum(NodeState, { error: "the state of a node" }),
  backendServerState: z.enum(BackendServerState, {
    error: "the state of a backend server",
  }),
  freeSlots: createWholeNumberSchema(0, Number.MAX_SAFE_INTEGER),
  version: versionSchema.optional(),
}).transform((record) => ({ ...record, version: record.version }));
