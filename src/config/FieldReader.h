#pragma once

#include "knapweedpaddle/common/EnumNames.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace knapweedpaddle::config {

using Json = nlohmann::ordered_json;

/** Thrown and caught inside the codec when JSON has a wrong field. */
struct FieldError
{
  std::string message;
};

/**
 * Reads the fields of a JSON object, checks their types and keeps track of
 * which fields were read. Every method throws a FieldError on an error.
 */
class FieldReader
{
public:
  /** @param aContext  name of the object, which begins every message. */
  FieldReader(const Json& aObject, std::string aContext)
    : mObject(aObject)
    , mContext(std::move(aContext))
  {
    if (!mObject.is_object()) {
      throw FieldError{ mContext + ": must be a JSON object" };
    }
  }

  std::string String(const char* aName, bool aRequired = true)
  {
    const Json* it = FindField(aName, aRequired);
    if (!it) {
      return {};
    }
    if (!it->is_string()) {
      throw FieldError{ FieldLabel(aName) + " must be a string" };
    }
    return it->get<std::string>();
  }

  double Number(const char* aName, double aDefault)
  {
    const Json* it = FindField(aName, false);
    if (!it) {
      return aDefault;
    }
    if (!it->is_number()) {
      throw FieldError{ FieldLabel(aName) + " must be a number" };
    }
    return it->get<double>();
  }

  std::int64_t Integer(const char* aName, std::int64_t aDefault)
  {
    const Json* it = FindField(aName, false);
    if (!it) {
      return aDefault;
    }
    if (!it->is_number_integer() || it->get<double>() > 9e15 ||
        it->get<double>() < 0) {
      throw FieldError{ FieldLabel(aName) +
                        " must be a whole number from 0 to 9e15" };
    }
    return it->get<std::int64_t>();
  }

  bool Bool(const char* aName, bool aDefault)
  {
    const Json* it = FindField(aName, false);
    if (!it) {
      return aDefault;
    }
    if (!it->is_boolean()) {
      throw FieldError{ FieldLabel(aName) + " must be true or false" };
    }
    return it->get<bool>();
  }

  bool Has(const char* aName) { return FindField(aName, false) != nullptr; }

  /** Reads an array of strings; empty if the field is missing. */
  std::vector<std::string> Strings(const char* aName)
  {
    std::vector<std::string> strings;
    const Json* array = Array(aName);
    for (std::size_t n = 0; array && n < array->size(); ++n) {
      if (!(*array)[n].is_string()) {
        throw FieldError{ FieldLabel(aName) + " must hold strings only" };
      }
      strings.push_back((*array)[n].get<std::string>());
    }
    return strings;
  }

  template<typename Enum, std::size_t N>
  Enum EnumValue(const char* aName,
                 const std::array<EnumName<Enum>, N>& aTable,
                 Enum aDefault)
  {
    const std::string text = String(aName, false);
    if (text.empty()) {
      return aDefault;
    }
    if (const auto value = ValueOf(aTable, text)) {
      return *value;
    }
    std::string choices;
    for (const auto& it : aTable) {
      choices += (choices.empty() ? "" : ", ") + std::string(it.name);
    }
    throw FieldError{ FieldLabel(aName) + " is \"" + text +
                      "\"; it must be one of " + choices };
  }

  const Json* Array(const char* aName)
  {
    const Json* it = FindField(aName, false);
    if (it && !it->is_array()) {
      throw FieldError{ FieldLabel(aName) + " must be an array" };
    }
    return it;
  }

  const Json* Object(const char* aName)
  {
    const Json* it = FindField(aName, false);
    if (it && !it->is_object()) {
      throw FieldError{ FieldLabel(aName) + " must be an object" };
    }
    return it;
  }

  /** Throws if the object has a field that was not read before. */
  void RejectUnknownFields()
  {
    for (const auto& [key, value] : mObject.items()) {
      if (!mReadFields.contains(key)) {
        throw FieldError{ mContext + ": unknown field \"" + key + "\"" };
      }
    }
  }

private:
  /** Returns the object and the field as they are named in messages. */
  std::string FieldLabel(const char* aName) const
  {
    return mContext + ": field \"" + aName + "\"";
  }

  const Json* FindField(const char* aName, bool aRequired)
  {
    mReadFields.insert(aName);
    const auto it = mObject.find(aName);
    if (it != mObject.end()) {
      return &*it;
    }
    if (aRequired) {
      throw FieldError{ FieldLabel(aName) + " is missing" };
    }
    return nullptr;
  }

  const Json& mObject;
  std::string mContext;
  std::set<std::string> mReadFields;
};

} // namespace knapweedpaddle::config
