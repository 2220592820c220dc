import * as z from "zod";

const error = "an instant in milliseconds since the Unix epoch";

/** The schema of an instant in a control message. */
export const instantSchema = z.number({ error }).min(0, { error });
