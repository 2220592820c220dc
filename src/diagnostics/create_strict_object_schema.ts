import * as z from "zod";

/** Creates an object schema that rejects unknown fields and lists the allowed ones in its messages. */
export function createStrictObjectSchema<Shape extends z.core.$ZodLooseShape>(
  shape: Shape,
): z.ZodObject<Shape, z.core.$strict> {
  return z.strictObject(shape, {
    error: (issue) =>
      issue.code === "unrecognized_keys"
        ? Object.keys(shape).map((key) => `"${key}"`).join(", ")
        : "an object",
  });
}
