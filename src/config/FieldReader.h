#pragma once

#include "knapweedpaddle/common/EnumNames.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace knapweedpaddle::config {

using Json = nlohmann::ordered_json;

/** Thrown inside the codec for a field that is not acceptable. */
struct FieldError
{
  std::string message;
};

/** Reads the fields of one JSON object and refuses those that nobody read. */
class FieldReader
{
public:
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
      throw FieldError{ Label(aName) + " must be a string" };
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
      throw FieldError{ Label(aName) + " must be a number" };
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
      throw FieldError{ Label(aName) +
                        " must be a whole number of at least 0" };
    }
    return it->get<std::int64_t>();
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
    throw FieldError{ Label(aName) + " is \"" + text +
                      "\"; it must be one of " + choices };
  }

  const Json* Array(const char* aName)
  {
    const Json* it = FindField(aName, false);
    if (it && !it->is_array()) {
      throw FieldError{ Label(aName) + " must be an array" };
    }
    return it;
  }

  const Json* Object(const char* aName)
  {
    const Json* it = FindField(aName, false);
    if (it && !it->is_object()) {
      throw FieldError{ Label(aName) + " must be an object" };
    }
    return it;
  }

  void RejectUnknownFields()
  {
    for (const auto& [key, value] : mObject.items()) {
      if (!mReadFields.contains(key)) {
        throw FieldError{ mContext + ": unknown field \"" + key + "\"" };
      }
    }
  }

private:
  std::string Label(const char* aName) const
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
      throw FieldError{ Label(aName) + " is missing" };
    }
    return nullptr;
  }

  const Json& mObject;
  std::string mContext;
  std::set<std::string> mReadFields;
};

} // namespace knapweedpaddle::config
