import * as z from "zod";

const error = "an instant in milliseconds since the Unix epoch";

/** The shape of an instant between nodes. */
export const instantSchema = z.number({ error }).min(0, { error });
